#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(2*sizeof(Trans **));

	/* proctype 0: system */

	trans[0] = (Trans **) emalloc(1314*sizeof(Trans *));

/*->*/	trans[0][14]	= settr(13,32,1310,3,3,"D_STEP277", 1, 2, 0);
	trans[0][1311]	= settr(1310,0,1310,1,0,".(goto)", 0, 2, 0);
	T = trans[0][1310] = settr(1309,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,46,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,72,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,455,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,838,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1221,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1232,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1243,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1254,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1257,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1260,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1263,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1267,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1271,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1274,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1277,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1280,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1290,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1293,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1309,0,1306,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(1309,0,1309,0,0,"DO", 0, 2, 0);
	T = trans[ 0][46] = settr(45,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(45,2,15,0,0,"ATOMIC", 1, 2, 0);
	trans[0][15]	= settr(14,2,18,4,0,"(((firstSent<2)&&((!(packet[0].used)||!(packet[1].used))||!(packet[2].used))))", 1, 2, 0);
	T = trans[0][18] = settr(17,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(17,2,16,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(17,2,17,0,0,"IF", 1, 2, 0);
	trans[0][16]	= settr(15,2,26,5,5,"e = 0", 1, 2, 0);
	trans[0][19]	= settr(18,2,26,1,0,".(goto)", 1, 2, 0);
	trans[0][17]	= settr(16,2,26,6,6,"e = 1", 1, 2, 0);
	T = trans[0][26] = settr(25,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(25,2,20,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(25,2,22,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(25,2,24,0,0,"IF", 1, 2, 0);
	trans[0][20]	= settr(19,2,43,7,7,"(!(packet[0].used))", 1, 2, 0); /* m: 21 -> 43,0 */
	reached0[21] = 1;
	trans[0][21]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	trans[0][27]	= settr(26,2,43,1,0,".(goto)", 1, 2, 0);
	trans[0][22]	= settr(21,2,43,8,8,"((packet[0].used&&!(packet[1].used)))", 1, 2, 0); /* m: 23 -> 43,0 */
	reached0[23] = 1;
	trans[0][23]	= settr(0,0,0,0,0,"s = 1",0,0,0);
	trans[0][24]	= settr(23,2,43,9,9,"((packet[0].used&&packet[1].used))", 1, 2, 0); /* m: 25 -> 43,0 */
	reached0[25] = 1;
	trans[0][25]	= settr(0,0,0,0,0,"s = 2",0,0,0);
	T = trans[ 0][43] = settr(42,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(42,0,28,0,0,"sub-sequence", 1, 2, 0);
	trans[0][28]	= settr(27,2,41,10,10,"packet[s].used = 1", 1, 2, 0); /* m: 29 -> 0,41 */
	reached0[29] = 1;
	trans[0][29]	= settr(0,0,0,0,0,"packet[s].first = 1",0,0,0);
	trans[0][30]	= settr(0,0,0,0,0,"packet[s].view = entryView[e]",0,0,0);
	trans[0][31]	= settr(0,0,0,0,0,"packet[s].position = 0",0,0,0);
	trans[0][32]	= settr(0,0,0,0,0,"packet[s].at = ( ((entryView[e]==0)) -> (( ((0==0)) -> (0) : (1) )) : (( ((0==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][33]	= settr(0,0,0,0,0,"packet[s].claimant = 7",0,0,0);
	trans[0][34]	= settr(0,0,0,0,0,"packet[s].returning = 0",0,0,0);
	trans[0][35]	= settr(0,0,0,0,0,"packet[s].hops = 0",0,0,0);
	trans[0][36]	= settr(0,0,0,0,0,"firstSent = (firstSent+1)",0,0,0);
	T = trans[0][41] = settr(40,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(40,2,37,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(40,2,39,0,0,"IF", 1, 2, 0);
	trans[0][37]	= settr(36,0,1310,11,11,"((!((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1)))))||!(changed)))", 1, 2, 0); /* m: 38 -> 1310,0 */
	reached0[38] = 1;
	trans[0][38]	= settr(0,0,0,0,0,"startedBeforeAgreement = 1",0,0,0);
	trans[0][42]	= settr(41,2,44,1,0,".(goto)", 1, 2, 0); /* m: 44 -> 0,1310 */
	reached0[44] = 1;
	trans[0][39]	= settr(38,2,40,2,0,"else", 1, 2, 0);
	trans[0][40]	= settr(39,0,1310,12,12,"(1)", 1, 2, 0); /* m: 44 -> 1310,0 */
	reached0[44] = 1;
	trans[0][44]	= settr(43,0,1310,13,13,"e = 0", 1, 2, 0); /* m: 45 -> 0,1310 */
	reached0[45] = 1;
	trans[0][45]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	T = trans[ 0][72] = settr(71,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(71,2,47,0,0,"ATOMIC", 1, 2, 0);
	trans[0][47]	= settr(46,2,50,14,0,"((((laterSent<1)&&((known[0]||known[1])||known[2]))&&((!(packet[0].used)||!(packet[1].used))||!(packet[2].used))))", 1, 2, 0);
	T = trans[0][50] = settr(49,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(49,2,48,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(49,2,49,0,0,"IF", 1, 2, 0);
	trans[0][48]	= settr(47,2,58,15,15,"e = 0", 1, 2, 0);
	trans[0][51]	= settr(50,2,58,1,0,".(goto)", 1, 2, 0);
	trans[0][49]	= settr(48,2,58,16,16,"e = 1", 1, 2, 0);
	T = trans[0][58] = settr(57,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(57,2,52,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(57,2,54,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(57,2,56,0,0,"IF", 1, 2, 0);
	trans[0][52]	= settr(51,2,69,17,17,"(!(packet[0].used))", 1, 2, 0); /* m: 53 -> 69,0 */
	reached0[53] = 1;
	trans[0][53]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	trans[0][59]	= settr(58,2,69,1,0,".(goto)", 1, 2, 0);
	trans[0][54]	= settr(53,2,69,18,18,"((packet[0].used&&!(packet[1].used)))", 1, 2, 0); /* m: 55 -> 69,0 */
	reached0[55] = 1;
	trans[0][55]	= settr(0,0,0,0,0,"s = 1",0,0,0);
	trans[0][56]	= settr(55,2,69,19,19,"((packet[0].used&&packet[1].used))", 1, 2, 0); /* m: 57 -> 69,0 */
	reached0[57] = 1;
	trans[0][57]	= settr(0,0,0,0,0,"s = 2",0,0,0);
	T = trans[ 0][69] = settr(68,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(68,0,60,0,0,"sub-sequence", 1, 2, 0);
	trans[0][60]	= settr(59,0,1310,20,20,"packet[s].used = 1", 1, 2, 0); /* m: 61 -> 0,1310 */
	reached0[61] = 1;
	trans[0][61]	= settr(0,0,0,0,0,"packet[s].first = 0",0,0,0);
	trans[0][62]	= settr(0,0,0,0,0,"packet[s].view = entryView[e]",0,0,0);
	trans[0][63]	= settr(0,0,0,0,0,"packet[s].position = 0",0,0,0);
	trans[0][64]	= settr(0,0,0,0,0,"packet[s].at = ( ((entryView[e]==0)) -> (( ((0==0)) -> (0) : (1) )) : (( ((0==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][65]	= settr(0,0,0,0,0,"packet[s].claimant = 7",0,0,0);
	trans[0][66]	= settr(0,0,0,0,0,"packet[s].returning = 0",0,0,0);
	trans[0][67]	= settr(0,0,0,0,0,"packet[s].hops = 0",0,0,0);
	trans[0][68]	= settr(0,0,0,0,0,"laterSent = (laterSent+1)",0,0,0);
	trans[0][70]	= settr(0,0,0,0,0,"e = 0",0,0,0);
	trans[0][71]	= settr(0,0,0,0,0,"s = 0",0,0,0);
	T = trans[ 0][455] = settr(454,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(454,2,73,0,0,"ATOMIC", 1, 2, 0);
	trans[0][73]	= settr(72,2,454,21,0,"(packet[0].used)", 1, 2, 0);
	T = trans[ 0][454] = settr(453,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(453,0,74,0,0,"sub-sequence", 1, 2, 0);
	trans[0][74]	= settr(73,2,451,22,22,"i = packet[0].at", 1, 2, 0);
	T = trans[0][451] = settr(450,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(450,2,75,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(450,2,85,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(450,2,95,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(450,2,123,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(450,2,366,0,0,"IF", 1, 2, 0);
	trans[0][75]	= settr(74,2,84,23,23,"(foreign[i])", 1, 2, 0);
	T = trans[ 0][84] = settr(83,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(83,0,76,0,0,"sub-sequence", 1, 2, 0);
	trans[0][76]	= settr(75,0,1310,24,24,"packet[0].used = 0", 1, 2, 0); /* m: 77 -> 0,1310 */
	reached0[77] = 1;
	trans[0][77]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][78]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][79]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][80]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][81]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][82]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][83]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][452]	= settr(451,0,1310,25,25,".(goto)", 1, 2, 0); /* m: 453 -> 0,1310 */
	reached0[453] = 1;
	trans[0][85]	= settr(84,2,94,26,26,"(known[i])", 1, 2, 0);
	T = trans[ 0][94] = settr(93,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(93,0,86,0,0,"sub-sequence", 1, 2, 0);
	trans[0][86]	= settr(85,0,1310,27,27,"packet[0].used = 0", 1, 2, 0); /* m: 87 -> 0,1310 */
	reached0[87] = 1;
	trans[0][87]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][88]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][89]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][90]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][91]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][92]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][93]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][95]	= settr(94,2,122,28,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[0].first))", 1, 2, 0);
	T = trans[ 0][122] = settr(121,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(121,0,120,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][120] = settr(119,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(119,2,96,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(119,2,106,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(119,2,116,0,0,"IF", 1, 2, 0);
	trans[0][96]	= settr(95,2,105,29,29,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][105] = settr(104,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(104,0,97,0,0,"sub-sequence", 1, 2, 0);
	trans[0][97]	= settr(96,0,1310,30,30,"packet[0].used = 0", 1, 2, 0); /* m: 98 -> 0,1310 */
	reached0[98] = 1;
	trans[0][98]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][99]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][100]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][101]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][102]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][103]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][104]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][121]	= settr(120,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][106]	= settr(105,2,115,31,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][115] = settr(114,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(114,0,107,0,0,"sub-sequence", 1, 2, 0);
	trans[0][107]	= settr(106,0,1310,32,32,"packet[0].used = 0", 1, 2, 0); /* m: 108 -> 0,1310 */
	reached0[108] = 1;
	trans[0][108]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][109]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][110]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][111]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][112]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][113]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][114]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][116]	= settr(115,2,117,2,0,"else", 1, 2, 0);
	trans[0][117]	= settr(116,0,1310,33,33,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0); /* m: 118 -> 0,1310 */
	reached0[118] = 1;
	trans[0][118]	= settr(0,0,0,0,0,"packet[0].at = note[i]",0,0,0);
	trans[0][119]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][123]	= settr(122,2,365,34,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[0].first))", 1, 2, 0);
	T = trans[ 0][365] = settr(364,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(364,0,363,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][363] = settr(362,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(362,2,124,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(362,2,154,0,0,"IF", 1, 2, 0);
	trans[0][124]	= settr(123,2,152,35,0,"((packet[0].returning&&(packet[0].claimant==i)))", 1, 2, 0);
	T = trans[0][152] = settr(151,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(151,2,125,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(151,2,142,0,0,"IF", 1, 2, 0);
	trans[0][125]	= settr(124,2,141,36,0,"(claiming[i])", 1, 2, 0);
	T = trans[ 0][141] = settr(140,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(140,0,126,0,0,"sub-sequence", 1, 2, 0);
	trans[0][126]	= settr(125,2,140,37,37,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 127 -> 0,140 */
	reached0[127] = 1;
	trans[0][127]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][128]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][129]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][130]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][131]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][140] = settr(139,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(139,0,132,0,0,"sub-sequence", 1, 2, 0);
	trans[0][132]	= settr(131,0,1310,38,38,"packet[0].used = 0", 1, 2, 0); /* m: 133 -> 0,1310 */
	reached0[133] = 1;
	trans[0][133]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][134]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][135]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][136]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][137]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][138]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][139]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][153]	= settr(152,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][142]	= settr(141,2,151,2,0,"else", 1, 2, 0);
	T = trans[ 0][151] = settr(150,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(150,0,143,0,0,"sub-sequence", 1, 2, 0);
	trans[0][143]	= settr(142,0,1310,39,39,"packet[0].used = 0", 1, 2, 0); /* m: 144 -> 0,1310 */
	reached0[144] = 1;
	trans[0][144]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][145]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][146]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][147]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][148]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][149]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][150]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][364]	= settr(363,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][154]	= settr(153,2,361,2,0,"else", 1, 2, 0);
	T = trans[0][361] = settr(360,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(360,2,155,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(360,2,207,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(360,2,217,0,0,"IF", 1, 2, 0);
	trans[0][155]	= settr(154,2,205,40,0,"(((packet[0].claimant!=7)&&(packet[0].claimant!=i)))", 1, 2, 0);
	T = trans[0][205] = settr(204,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(204,2,156,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(204,2,166,0,0,"IF", 1, 2, 0);
	trans[0][156]	= settr(155,2,165,41,41,"((claiming[i]&&(i<packet[0].claimant)))", 1, 2, 0);
	T = trans[ 0][165] = settr(164,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(164,0,157,0,0,"sub-sequence", 1, 2, 0);
	trans[0][157]	= settr(156,0,1310,42,42,"packet[0].used = 0", 1, 2, 0); /* m: 158 -> 0,1310 */
	reached0[158] = 1;
	trans[0][158]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][159]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][160]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][161]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][162]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][163]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][164]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][206]	= settr(205,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][166]	= settr(165,2,167,2,0,"else", 1, 2, 0);
	trans[0][167]	= settr(166,2,204,43,43,"claiming[i] = 0", 1, 2, 0); /* m: 168 -> 0,204 */
	reached0[168] = 1;
	trans[0][168]	= settr(0,0,0,0,0,"note[i] = packet[0].claimant",0,0,0);
	T = trans[ 0][204] = settr(203,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(203,0,202,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][202] = settr(201,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,169,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(201,2,179,0,0,"IF", 1, 2, 0);
	trans[0][169]	= settr(168,2,178,44,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][178] = settr(177,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(177,0,170,0,0,"sub-sequence", 1, 2, 0);
	trans[0][170]	= settr(169,0,1310,45,45,"packet[0].used = 0", 1, 2, 0); /* m: 171 -> 0,1310 */
	reached0[171] = 1;
	trans[0][171]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][172]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][173]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][174]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][175]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][176]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][177]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][203]	= settr(202,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][179]	= settr(178,2,180,2,0,"else", 1, 2, 0);
	trans[0][180]	= settr(179,2,200,46,46,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0);
	T = trans[0][200] = settr(199,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(199,2,181,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(199,2,184,0,0,"IF", 1, 2, 0);
	trans[0][181]	= settr(180,0,1310,47,47,"(((packet[0].position+1)<2))", 1, 2, 0); /* m: 182 -> 1310,0 */
	reached0[182] = 1;
	trans[0][182]	= settr(0,0,0,0,0,"packet[0].position = (packet[0].position+1)",0,0,0);
	trans[0][183]	= settr(0,0,0,0,0,"packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][201]	= settr(200,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][184]	= settr(183,2,198,2,0,"else", 1, 2, 0);
	T = trans[0][198] = settr(197,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(197,2,185,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(197,2,188,0,0,"IF", 1, 2, 0);
	trans[0][185]	= settr(184,0,1310,48,48,"((packet[0].claimant!=7))", 1, 2, 0); /* m: 186 -> 1310,0 */
	reached0[186] = 1;
	trans[0][186]	= settr(0,0,0,0,0,"packet[0].at = packet[0].claimant",0,0,0);
	trans[0][187]	= settr(0,0,0,0,0,"packet[0].returning = 1",0,0,0);
	trans[0][199]	= settr(198,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][188]	= settr(187,2,197,2,0,"else", 1, 2, 0);
	T = trans[ 0][197] = settr(196,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(196,0,189,0,0,"sub-sequence", 1, 2, 0);
	trans[0][189]	= settr(188,0,1310,49,49,"packet[0].used = 0", 1, 2, 0); /* m: 190 -> 0,1310 */
	reached0[190] = 1;
	trans[0][190]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][191]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][192]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][193]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][194]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][195]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][196]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][362]	= settr(361,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][207]	= settr(206,2,216,50,50,"((packet[0].claimant==i))", 1, 2, 0);
	T = trans[ 0][216] = settr(215,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(215,0,208,0,0,"sub-sequence", 1, 2, 0);
	trans[0][208]	= settr(207,0,1310,51,51,"packet[0].used = 0", 1, 2, 0); /* m: 209 -> 0,1310 */
	reached0[209] = 1;
	trans[0][209]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][210]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][211]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][212]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][213]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][214]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][215]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][217]	= settr(216,2,359,2,0,"else", 1, 2, 0);
	T = trans[0][359] = settr(358,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(358,2,218,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(358,2,235,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(358,2,294,0,0,"IF", 1, 2, 0);
	trans[0][218]	= settr(217,2,234,52,0,"(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[0].view))&&!(1))))", 1, 2, 0);
	T = trans[ 0][234] = settr(233,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(233,0,219,0,0,"sub-sequence", 1, 2, 0);
	trans[0][219]	= settr(218,2,233,53,53,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 220 -> 0,233 */
	reached0[220] = 1;
	trans[0][220]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][221]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][222]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][223]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][224]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][233] = settr(232,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(232,0,225,0,0,"sub-sequence", 1, 2, 0);
	trans[0][225]	= settr(224,0,1310,54,54,"packet[0].used = 0", 1, 2, 0); /* m: 226 -> 0,1310 */
	reached0[226] = 1;
	trans[0][226]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][227]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][228]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][229]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][230]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][231]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][232]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][360]	= settr(359,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][235]	= settr(234,2,292,55,55,"(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[0].view))&&!(1)))))", 1, 2, 0); /* m: 236 -> 292,0 */
	reached0[236] = 1;
	trans[0][236]	= settr(0,0,0,0,0,"claiming[i] = 1",0,0,0);
	trans[0][237]	= settr(0,0,0,0,0,"packet[0].claimant = i",0,0,0);
	T = trans[0][292] = settr(291,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(291,2,238,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(291,2,255,0,0,"IF", 1, 2, 0);
	trans[0][238]	= settr(237,2,254,56,0,"((((packet[0].position+1)>=2)&&(packet[0].position==0)))", 1, 2, 0);
	T = trans[ 0][254] = settr(253,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(253,0,239,0,0,"sub-sequence", 1, 2, 0);
	trans[0][239]	= settr(238,2,253,57,57,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 240 -> 0,253 */
	reached0[240] = 1;
	trans[0][240]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][241]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][242]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][243]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][244]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][253] = settr(252,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(252,0,245,0,0,"sub-sequence", 1, 2, 0);
	trans[0][245]	= settr(244,0,1310,58,58,"packet[0].used = 0", 1, 2, 0); /* m: 246 -> 0,1310 */
	reached0[246] = 1;
	trans[0][246]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][247]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][248]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][249]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][250]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][251]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][252]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][293]	= settr(292,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][255]	= settr(254,2,291,2,0,"else", 1, 2, 0);
	T = trans[ 0][291] = settr(290,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(290,0,289,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][289] = settr(288,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(288,2,256,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(288,2,266,0,0,"IF", 1, 2, 0);
	trans[0][256]	= settr(255,2,265,59,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][265] = settr(264,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(264,0,257,0,0,"sub-sequence", 1, 2, 0);
	trans[0][257]	= settr(256,0,1310,60,60,"packet[0].used = 0", 1, 2, 0); /* m: 258 -> 0,1310 */
	reached0[258] = 1;
	trans[0][258]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][259]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][260]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][261]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][262]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][263]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][264]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][290]	= settr(289,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][266]	= settr(265,2,267,2,0,"else", 1, 2, 0);
	trans[0][267]	= settr(266,2,287,61,61,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0);
	T = trans[0][287] = settr(286,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(286,2,268,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(286,2,271,0,0,"IF", 1, 2, 0);
	trans[0][268]	= settr(267,0,1310,62,62,"(((packet[0].position+1)<2))", 1, 2, 0); /* m: 269 -> 1310,0 */
	reached0[269] = 1;
	trans[0][269]	= settr(0,0,0,0,0,"packet[0].position = (packet[0].position+1)",0,0,0);
	trans[0][270]	= settr(0,0,0,0,0,"packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][288]	= settr(287,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][271]	= settr(270,2,285,2,0,"else", 1, 2, 0);
	T = trans[0][285] = settr(284,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(284,2,272,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(284,2,275,0,0,"IF", 1, 2, 0);
	trans[0][272]	= settr(271,0,1310,63,63,"((packet[0].claimant!=7))", 1, 2, 0); /* m: 273 -> 1310,0 */
	reached0[273] = 1;
	trans[0][273]	= settr(0,0,0,0,0,"packet[0].at = packet[0].claimant",0,0,0);
	trans[0][274]	= settr(0,0,0,0,0,"packet[0].returning = 1",0,0,0);
	trans[0][286]	= settr(285,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][275]	= settr(274,2,284,2,0,"else", 1, 2, 0);
	T = trans[ 0][284] = settr(283,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(283,0,276,0,0,"sub-sequence", 1, 2, 0);
	trans[0][276]	= settr(275,0,1310,64,64,"packet[0].used = 0", 1, 2, 0); /* m: 277 -> 0,1310 */
	reached0[277] = 1;
	trans[0][277]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][278]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][279]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][280]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][281]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][282]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][283]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][294]	= settr(293,2,357,2,0,"else", 1, 2, 0);
	T = trans[0][357] = settr(356,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,295,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,309,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(356,2,319,0,0,"IF", 1, 2, 0);
	trans[0][295]	= settr(294,2,308,65,0,"((((packet[0].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[0].view))))", 1, 2, 0);
	T = trans[ 0][308] = settr(307,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(307,0,296,0,0,"sub-sequence", 1, 2, 0);
	trans[0][296]	= settr(295,2,307,66,66,"assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))", 1, 2, 0); /* m: 297 -> 0,307 */
	reached0[297] = 1;
	trans[0][297]	= settr(0,0,0,0,0,"refusalSent = 1",0,0,0);
	trans[0][298]	= settr(0,0,0,0,0,"note[i] = 6",0,0,0);
	T = trans[ 0][307] = settr(306,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(306,0,299,0,0,"sub-sequence", 1, 2, 0);
	trans[0][299]	= settr(298,0,1310,67,67,"packet[0].used = 0", 1, 2, 0); /* m: 300 -> 0,1310 */
	reached0[300] = 1;
	trans[0][300]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][301]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][302]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][303]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][304]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][305]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][306]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][358]	= settr(357,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][309]	= settr(308,2,318,68,68,"((((packet[0].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[0].view)))))", 1, 2, 0);
	T = trans[ 0][318] = settr(317,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(317,0,310,0,0,"sub-sequence", 1, 2, 0);
	trans[0][310]	= settr(309,0,1310,69,69,"packet[0].used = 0", 1, 2, 0); /* m: 311 -> 0,1310 */
	reached0[311] = 1;
	trans[0][311]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][312]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][313]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][314]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][315]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][316]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][317]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][319]	= settr(318,2,320,2,0,"else", 1, 2, 0);
	trans[0][320]	= settr(319,2,356,70,70,"note[i] = ( ((packet[0].view==0)) -> (( (((packet[0].position+1)==0)) -> (0) : (1) )) : (( (((packet[0].position+1)==0)) -> (1) : (0) )) )", 1, 2, 0);
	T = trans[ 0][356] = settr(355,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(355,0,354,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][354] = settr(353,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(353,2,321,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(353,2,331,0,0,"IF", 1, 2, 0);
	trans[0][321]	= settr(320,2,330,71,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][330] = settr(329,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(329,0,322,0,0,"sub-sequence", 1, 2, 0);
	trans[0][322]	= settr(321,0,1310,72,72,"packet[0].used = 0", 1, 2, 0); /* m: 323 -> 0,1310 */
	reached0[323] = 1;
	trans[0][323]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][324]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][325]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][326]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][327]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][328]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][329]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][355]	= settr(354,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][331]	= settr(330,2,332,2,0,"else", 1, 2, 0);
	trans[0][332]	= settr(331,2,352,73,73,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0);
	T = trans[0][352] = settr(351,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(351,2,333,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(351,2,336,0,0,"IF", 1, 2, 0);
	trans[0][333]	= settr(332,0,1310,74,74,"(((packet[0].position+1)<2))", 1, 2, 0); /* m: 334 -> 1310,0 */
	reached0[334] = 1;
	trans[0][334]	= settr(0,0,0,0,0,"packet[0].position = (packet[0].position+1)",0,0,0);
	trans[0][335]	= settr(0,0,0,0,0,"packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][353]	= settr(352,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][336]	= settr(335,2,350,2,0,"else", 1, 2, 0);
	T = trans[0][350] = settr(349,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(349,2,337,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(349,2,340,0,0,"IF", 1, 2, 0);
	trans[0][337]	= settr(336,0,1310,75,75,"((packet[0].claimant!=7))", 1, 2, 0); /* m: 338 -> 1310,0 */
	reached0[338] = 1;
	trans[0][338]	= settr(0,0,0,0,0,"packet[0].at = packet[0].claimant",0,0,0);
	trans[0][339]	= settr(0,0,0,0,0,"packet[0].returning = 1",0,0,0);
	trans[0][351]	= settr(350,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][340]	= settr(339,2,349,2,0,"else", 1, 2, 0);
	T = trans[ 0][349] = settr(348,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(348,0,341,0,0,"sub-sequence", 1, 2, 0);
	trans[0][341]	= settr(340,0,1310,76,76,"packet[0].used = 0", 1, 2, 0); /* m: 342 -> 0,1310 */
	reached0[342] = 1;
	trans[0][342]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][343]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][344]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][345]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][346]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][347]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][348]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][366]	= settr(365,2,449,77,0,"(((!(foreign[i])&&!(known[i]))&&!(packet[0].first)))", 1, 2, 0);
	T = trans[0][449] = settr(448,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(448,2,367,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(448,2,395,0,0,"IF", 1, 2, 0);
	trans[0][367]	= settr(366,2,394,78,0,"((((note[i]!=7)&&(note[i]!=6))&&(packet[0].hops<8)))", 1, 2, 0);
	T = trans[ 0][394] = settr(393,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(393,0,392,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][392] = settr(391,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(391,2,368,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(391,2,378,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(391,2,388,0,0,"IF", 1, 2, 0);
	trans[0][368]	= settr(367,2,377,79,79,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][377] = settr(376,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(376,0,369,0,0,"sub-sequence", 1, 2, 0);
	trans[0][369]	= settr(368,0,1310,80,80,"packet[0].used = 0", 1, 2, 0); /* m: 370 -> 0,1310 */
	reached0[370] = 1;
	trans[0][370]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][371]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][372]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][373]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][374]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][375]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][376]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][393]	= settr(392,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][378]	= settr(377,2,387,81,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][387] = settr(386,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(386,0,379,0,0,"sub-sequence", 1, 2, 0);
	trans[0][379]	= settr(378,0,1310,82,82,"packet[0].used = 0", 1, 2, 0); /* m: 380 -> 0,1310 */
	reached0[380] = 1;
	trans[0][380]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][381]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][382]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][383]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][384]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][385]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][386]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][388]	= settr(387,2,389,2,0,"else", 1, 2, 0);
	trans[0][389]	= settr(388,0,1310,83,83,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0); /* m: 390 -> 0,1310 */
	reached0[390] = 1;
	trans[0][390]	= settr(0,0,0,0,0,"packet[0].at = note[i]",0,0,0);
	trans[0][391]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][450]	= settr(449,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][395]	= settr(394,2,447,2,0,"else", 1, 2, 0);
	T = trans[0][447] = settr(446,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(446,2,396,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(446,2,433,0,0,"IF", 1, 2, 0);
	trans[0][396]	= settr(395,2,432,84,0,"(!(((packet[0].position+1)>=2)))", 1, 2, 0);
	T = trans[ 0][432] = settr(431,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(431,0,430,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][430] = settr(429,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(429,2,397,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(429,2,407,0,0,"IF", 1, 2, 0);
	trans[0][397]	= settr(396,2,406,85,0,"((packet[0].hops>=8))", 1, 2, 0);
	T = trans[ 0][406] = settr(405,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(405,0,398,0,0,"sub-sequence", 1, 2, 0);
	trans[0][398]	= settr(397,0,1310,86,86,"packet[0].used = 0", 1, 2, 0); /* m: 399 -> 0,1310 */
	reached0[399] = 1;
	trans[0][399]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][400]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][401]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][402]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][403]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][404]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][405]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][431]	= settr(430,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][407]	= settr(406,2,408,2,0,"else", 1, 2, 0);
	trans[0][408]	= settr(407,2,428,87,87,"packet[0].hops = (packet[0].hops+1)", 1, 2, 0);
	T = trans[0][428] = settr(427,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(427,2,409,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(427,2,412,0,0,"IF", 1, 2, 0);
	trans[0][409]	= settr(408,0,1310,88,88,"(((packet[0].position+1)<2))", 1, 2, 0); /* m: 410 -> 1310,0 */
	reached0[410] = 1;
	trans[0][410]	= settr(0,0,0,0,0,"packet[0].position = (packet[0].position+1)",0,0,0);
	trans[0][411]	= settr(0,0,0,0,0,"packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][429]	= settr(428,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][412]	= settr(411,2,426,2,0,"else", 1, 2, 0);
	T = trans[0][426] = settr(425,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(425,2,413,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(425,2,416,0,0,"IF", 1, 2, 0);
	trans[0][413]	= settr(412,0,1310,89,89,"((packet[0].claimant!=7))", 1, 2, 0); /* m: 414 -> 1310,0 */
	reached0[414] = 1;
	trans[0][414]	= settr(0,0,0,0,0,"packet[0].at = packet[0].claimant",0,0,0);
	trans[0][415]	= settr(0,0,0,0,0,"packet[0].returning = 1",0,0,0);
	trans[0][427]	= settr(426,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][416]	= settr(415,2,425,2,0,"else", 1, 2, 0);
	T = trans[ 0][425] = settr(424,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(424,0,417,0,0,"sub-sequence", 1, 2, 0);
	trans[0][417]	= settr(416,0,1310,90,90,"packet[0].used = 0", 1, 2, 0); /* m: 418 -> 0,1310 */
	reached0[418] = 1;
	trans[0][418]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][419]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][420]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][421]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][422]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][423]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][424]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][448]	= settr(447,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][433]	= settr(432,2,445,2,0,"else", 1, 2, 0);
	T = trans[0][445] = settr(444,2,0,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(444,2,434,0,0,"IF", 1, 2, 0);
	trans[0][434]	= settr(433,2,444,91,91,"(1)", 1, 2, 0); /* m: 435 -> 444,0 */
	reached0[435] = 1;
	trans[0][435]	= settr(0,0,0,0,0,"assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))",0,0,0);
	T = trans[ 0][444] = settr(443,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(443,0,436,0,0,"sub-sequence", 1, 2, 0);
	trans[0][436]	= settr(435,0,1310,92,92,"packet[0].used = 0", 1, 2, 0); /* m: 437 -> 0,1310 */
	reached0[437] = 1;
	trans[0][437]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][438]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][439]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][440]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][441]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][442]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][443]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	trans[0][446]	= settr(445,2,452,1,0,".(goto)", 1, 2, 0); /* m: 452 -> 0,1310 */
	reached0[452] = 1;
	trans[0][453]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][838] = settr(837,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(837,2,456,0,0,"ATOMIC", 1, 2, 0);
	trans[0][456]	= settr(455,2,837,93,0,"(packet[1].used)", 1, 2, 0);
	T = trans[ 0][837] = settr(836,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(836,0,457,0,0,"sub-sequence", 1, 2, 0);
	trans[0][457]	= settr(456,2,834,94,94,"i = packet[1].at", 1, 2, 0);
	T = trans[0][834] = settr(833,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(833,2,458,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(833,2,468,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(833,2,478,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(833,2,506,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(833,2,749,0,0,"IF", 1, 2, 0);
	trans[0][458]	= settr(457,2,467,95,95,"(foreign[i])", 1, 2, 0);
	T = trans[ 0][467] = settr(466,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(466,0,459,0,0,"sub-sequence", 1, 2, 0);
	trans[0][459]	= settr(458,0,1310,96,96,"packet[1].used = 0", 1, 2, 0); /* m: 460 -> 0,1310 */
	reached0[460] = 1;
	trans[0][460]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][461]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][462]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][463]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][464]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][465]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][466]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][835]	= settr(834,0,1310,97,97,".(goto)", 1, 2, 0); /* m: 836 -> 0,1310 */
	reached0[836] = 1;
	trans[0][468]	= settr(467,2,477,98,98,"(known[i])", 1, 2, 0);
	T = trans[ 0][477] = settr(476,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(476,0,469,0,0,"sub-sequence", 1, 2, 0);
	trans[0][469]	= settr(468,0,1310,99,99,"packet[1].used = 0", 1, 2, 0); /* m: 470 -> 0,1310 */
	reached0[470] = 1;
	trans[0][470]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][471]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][472]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][473]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][474]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][475]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][476]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][478]	= settr(477,2,505,100,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[1].first))", 1, 2, 0);
	T = trans[ 0][505] = settr(504,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(504,0,503,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][503] = settr(502,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(502,2,479,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(502,2,489,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(502,2,499,0,0,"IF", 1, 2, 0);
	trans[0][479]	= settr(478,2,488,101,101,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][488] = settr(487,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(487,0,480,0,0,"sub-sequence", 1, 2, 0);
	trans[0][480]	= settr(479,0,1310,102,102,"packet[1].used = 0", 1, 2, 0); /* m: 481 -> 0,1310 */
	reached0[481] = 1;
	trans[0][481]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][482]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][483]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][484]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][485]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][486]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][487]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][504]	= settr(503,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][489]	= settr(488,2,498,103,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][498] = settr(497,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(497,0,490,0,0,"sub-sequence", 1, 2, 0);
	trans[0][490]	= settr(489,0,1310,104,104,"packet[1].used = 0", 1, 2, 0); /* m: 491 -> 0,1310 */
	reached0[491] = 1;
	trans[0][491]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][492]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][493]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][494]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][495]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][496]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][497]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][499]	= settr(498,2,500,2,0,"else", 1, 2, 0);
	trans[0][500]	= settr(499,0,1310,105,105,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0); /* m: 501 -> 0,1310 */
	reached0[501] = 1;
	trans[0][501]	= settr(0,0,0,0,0,"packet[1].at = note[i]",0,0,0);
	trans[0][502]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][506]	= settr(505,2,748,106,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[1].first))", 1, 2, 0);
	T = trans[ 0][748] = settr(747,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(747,0,746,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][746] = settr(745,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(745,2,507,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(745,2,537,0,0,"IF", 1, 2, 0);
	trans[0][507]	= settr(506,2,535,107,0,"((packet[1].returning&&(packet[1].claimant==i)))", 1, 2, 0);
	T = trans[0][535] = settr(534,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(534,2,508,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(534,2,525,0,0,"IF", 1, 2, 0);
	trans[0][508]	= settr(507,2,524,108,0,"(claiming[i])", 1, 2, 0);
	T = trans[ 0][524] = settr(523,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(523,0,509,0,0,"sub-sequence", 1, 2, 0);
	trans[0][509]	= settr(508,2,523,109,109,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 510 -> 0,523 */
	reached0[510] = 1;
	trans[0][510]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][511]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][512]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][513]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][514]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][523] = settr(522,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(522,0,515,0,0,"sub-sequence", 1, 2, 0);
	trans[0][515]	= settr(514,0,1310,110,110,"packet[1].used = 0", 1, 2, 0); /* m: 516 -> 0,1310 */
	reached0[516] = 1;
	trans[0][516]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][517]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][518]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][519]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][520]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][521]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][522]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][536]	= settr(535,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][525]	= settr(524,2,534,2,0,"else", 1, 2, 0);
	T = trans[ 0][534] = settr(533,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(533,0,526,0,0,"sub-sequence", 1, 2, 0);
	trans[0][526]	= settr(525,0,1310,111,111,"packet[1].used = 0", 1, 2, 0); /* m: 527 -> 0,1310 */
	reached0[527] = 1;
	trans[0][527]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][528]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][529]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][530]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][531]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][532]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][533]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][747]	= settr(746,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][537]	= settr(536,2,744,2,0,"else", 1, 2, 0);
	T = trans[0][744] = settr(743,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(743,2,538,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(743,2,590,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(743,2,600,0,0,"IF", 1, 2, 0);
	trans[0][538]	= settr(537,2,588,112,0,"(((packet[1].claimant!=7)&&(packet[1].claimant!=i)))", 1, 2, 0);
	T = trans[0][588] = settr(587,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(587,2,539,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(587,2,549,0,0,"IF", 1, 2, 0);
	trans[0][539]	= settr(538,2,548,113,113,"((claiming[i]&&(i<packet[1].claimant)))", 1, 2, 0);
	T = trans[ 0][548] = settr(547,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(547,0,540,0,0,"sub-sequence", 1, 2, 0);
	trans[0][540]	= settr(539,0,1310,114,114,"packet[1].used = 0", 1, 2, 0); /* m: 541 -> 0,1310 */
	reached0[541] = 1;
	trans[0][541]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][542]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][543]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][544]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][545]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][546]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][547]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][589]	= settr(588,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][549]	= settr(548,2,550,2,0,"else", 1, 2, 0);
	trans[0][550]	= settr(549,2,587,115,115,"claiming[i] = 0", 1, 2, 0); /* m: 551 -> 0,587 */
	reached0[551] = 1;
	trans[0][551]	= settr(0,0,0,0,0,"note[i] = packet[1].claimant",0,0,0);
	T = trans[ 0][587] = settr(586,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(586,0,585,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][585] = settr(584,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(584,2,552,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(584,2,562,0,0,"IF", 1, 2, 0);
	trans[0][552]	= settr(551,2,561,116,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][561] = settr(560,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(560,0,553,0,0,"sub-sequence", 1, 2, 0);
	trans[0][553]	= settr(552,0,1310,117,117,"packet[1].used = 0", 1, 2, 0); /* m: 554 -> 0,1310 */
	reached0[554] = 1;
	trans[0][554]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][555]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][556]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][557]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][558]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][559]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][560]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][586]	= settr(585,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][562]	= settr(561,2,563,2,0,"else", 1, 2, 0);
	trans[0][563]	= settr(562,2,583,118,118,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0);
	T = trans[0][583] = settr(582,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(582,2,564,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(582,2,567,0,0,"IF", 1, 2, 0);
	trans[0][564]	= settr(563,0,1310,119,119,"(((packet[1].position+1)<2))", 1, 2, 0); /* m: 565 -> 1310,0 */
	reached0[565] = 1;
	trans[0][565]	= settr(0,0,0,0,0,"packet[1].position = (packet[1].position+1)",0,0,0);
	trans[0][566]	= settr(0,0,0,0,0,"packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][584]	= settr(583,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][567]	= settr(566,2,581,2,0,"else", 1, 2, 0);
	T = trans[0][581] = settr(580,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(580,2,568,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(580,2,571,0,0,"IF", 1, 2, 0);
	trans[0][568]	= settr(567,0,1310,120,120,"((packet[1].claimant!=7))", 1, 2, 0); /* m: 569 -> 1310,0 */
	reached0[569] = 1;
	trans[0][569]	= settr(0,0,0,0,0,"packet[1].at = packet[1].claimant",0,0,0);
	trans[0][570]	= settr(0,0,0,0,0,"packet[1].returning = 1",0,0,0);
	trans[0][582]	= settr(581,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][571]	= settr(570,2,580,2,0,"else", 1, 2, 0);
	T = trans[ 0][580] = settr(579,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(579,0,572,0,0,"sub-sequence", 1, 2, 0);
	trans[0][572]	= settr(571,0,1310,121,121,"packet[1].used = 0", 1, 2, 0); /* m: 573 -> 0,1310 */
	reached0[573] = 1;
	trans[0][573]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][574]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][575]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][576]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][577]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][578]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][579]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][745]	= settr(744,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][590]	= settr(589,2,599,122,122,"((packet[1].claimant==i))", 1, 2, 0);
	T = trans[ 0][599] = settr(598,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(598,0,591,0,0,"sub-sequence", 1, 2, 0);
	trans[0][591]	= settr(590,0,1310,123,123,"packet[1].used = 0", 1, 2, 0); /* m: 592 -> 0,1310 */
	reached0[592] = 1;
	trans[0][592]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][593]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][594]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][595]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][596]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][597]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][598]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][600]	= settr(599,2,742,2,0,"else", 1, 2, 0);
	T = trans[0][742] = settr(741,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(741,2,601,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(741,2,618,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(741,2,677,0,0,"IF", 1, 2, 0);
	trans[0][601]	= settr(600,2,617,124,0,"(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[1].view))&&!(1))))", 1, 2, 0);
	T = trans[ 0][617] = settr(616,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(616,0,602,0,0,"sub-sequence", 1, 2, 0);
	trans[0][602]	= settr(601,2,616,125,125,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 603 -> 0,616 */
	reached0[603] = 1;
	trans[0][603]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][604]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][605]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][606]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][607]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][616] = settr(615,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(615,0,608,0,0,"sub-sequence", 1, 2, 0);
	trans[0][608]	= settr(607,0,1310,126,126,"packet[1].used = 0", 1, 2, 0); /* m: 609 -> 0,1310 */
	reached0[609] = 1;
	trans[0][609]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][610]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][611]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][612]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][613]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][614]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][615]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][743]	= settr(742,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][618]	= settr(617,2,675,127,127,"(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[1].view))&&!(1)))))", 1, 2, 0); /* m: 619 -> 675,0 */
	reached0[619] = 1;
	trans[0][619]	= settr(0,0,0,0,0,"claiming[i] = 1",0,0,0);
	trans[0][620]	= settr(0,0,0,0,0,"packet[1].claimant = i",0,0,0);
	T = trans[0][675] = settr(674,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(674,2,621,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(674,2,638,0,0,"IF", 1, 2, 0);
	trans[0][621]	= settr(620,2,637,128,0,"((((packet[1].position+1)>=2)&&(packet[1].position==0)))", 1, 2, 0);
	T = trans[ 0][637] = settr(636,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(636,0,622,0,0,"sub-sequence", 1, 2, 0);
	trans[0][622]	= settr(621,2,636,129,129,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 623 -> 0,636 */
	reached0[623] = 1;
	trans[0][623]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][624]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][625]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][626]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][627]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][636] = settr(635,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(635,0,628,0,0,"sub-sequence", 1, 2, 0);
	trans[0][628]	= settr(627,0,1310,130,130,"packet[1].used = 0", 1, 2, 0); /* m: 629 -> 0,1310 */
	reached0[629] = 1;
	trans[0][629]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][630]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][631]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][632]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][633]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][634]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][635]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][676]	= settr(675,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][638]	= settr(637,2,674,2,0,"else", 1, 2, 0);
	T = trans[ 0][674] = settr(673,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(673,0,672,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][672] = settr(671,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(671,2,639,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(671,2,649,0,0,"IF", 1, 2, 0);
	trans[0][639]	= settr(638,2,648,131,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][648] = settr(647,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(647,0,640,0,0,"sub-sequence", 1, 2, 0);
	trans[0][640]	= settr(639,0,1310,132,132,"packet[1].used = 0", 1, 2, 0); /* m: 641 -> 0,1310 */
	reached0[641] = 1;
	trans[0][641]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][642]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][643]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][644]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][645]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][646]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][647]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][673]	= settr(672,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][649]	= settr(648,2,650,2,0,"else", 1, 2, 0);
	trans[0][650]	= settr(649,2,670,133,133,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0);
	T = trans[0][670] = settr(669,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(669,2,651,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(669,2,654,0,0,"IF", 1, 2, 0);
	trans[0][651]	= settr(650,0,1310,134,134,"(((packet[1].position+1)<2))", 1, 2, 0); /* m: 652 -> 1310,0 */
	reached0[652] = 1;
	trans[0][652]	= settr(0,0,0,0,0,"packet[1].position = (packet[1].position+1)",0,0,0);
	trans[0][653]	= settr(0,0,0,0,0,"packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][671]	= settr(670,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][654]	= settr(653,2,668,2,0,"else", 1, 2, 0);
	T = trans[0][668] = settr(667,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(667,2,655,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(667,2,658,0,0,"IF", 1, 2, 0);
	trans[0][655]	= settr(654,0,1310,135,135,"((packet[1].claimant!=7))", 1, 2, 0); /* m: 656 -> 1310,0 */
	reached0[656] = 1;
	trans[0][656]	= settr(0,0,0,0,0,"packet[1].at = packet[1].claimant",0,0,0);
	trans[0][657]	= settr(0,0,0,0,0,"packet[1].returning = 1",0,0,0);
	trans[0][669]	= settr(668,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][658]	= settr(657,2,667,2,0,"else", 1, 2, 0);
	T = trans[ 0][667] = settr(666,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(666,0,659,0,0,"sub-sequence", 1, 2, 0);
	trans[0][659]	= settr(658,0,1310,136,136,"packet[1].used = 0", 1, 2, 0); /* m: 660 -> 0,1310 */
	reached0[660] = 1;
	trans[0][660]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][661]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][662]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][663]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][664]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][665]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][666]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][677]	= settr(676,2,740,2,0,"else", 1, 2, 0);
	T = trans[0][740] = settr(739,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(739,2,678,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(739,2,692,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(739,2,702,0,0,"IF", 1, 2, 0);
	trans[0][678]	= settr(677,2,691,137,0,"((((packet[1].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[1].view))))", 1, 2, 0);
	T = trans[ 0][691] = settr(690,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(690,0,679,0,0,"sub-sequence", 1, 2, 0);
	trans[0][679]	= settr(678,2,690,138,138,"assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))", 1, 2, 0); /* m: 680 -> 0,690 */
	reached0[680] = 1;
	trans[0][680]	= settr(0,0,0,0,0,"refusalSent = 1",0,0,0);
	trans[0][681]	= settr(0,0,0,0,0,"note[i] = 6",0,0,0);
	T = trans[ 0][690] = settr(689,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(689,0,682,0,0,"sub-sequence", 1, 2, 0);
	trans[0][682]	= settr(681,0,1310,139,139,"packet[1].used = 0", 1, 2, 0); /* m: 683 -> 0,1310 */
	reached0[683] = 1;
	trans[0][683]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][684]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][685]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][686]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][687]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][688]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][689]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][741]	= settr(740,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][692]	= settr(691,2,701,140,140,"((((packet[1].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[1].view)))))", 1, 2, 0);
	T = trans[ 0][701] = settr(700,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(700,0,693,0,0,"sub-sequence", 1, 2, 0);
	trans[0][693]	= settr(692,0,1310,141,141,"packet[1].used = 0", 1, 2, 0); /* m: 694 -> 0,1310 */
	reached0[694] = 1;
	trans[0][694]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][695]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][696]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][697]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][698]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][699]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][700]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][702]	= settr(701,2,703,2,0,"else", 1, 2, 0);
	trans[0][703]	= settr(702,2,739,142,142,"note[i] = ( ((packet[1].view==0)) -> (( (((packet[1].position+1)==0)) -> (0) : (1) )) : (( (((packet[1].position+1)==0)) -> (1) : (0) )) )", 1, 2, 0);
	T = trans[ 0][739] = settr(738,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(738,0,737,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][737] = settr(736,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(736,2,704,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(736,2,714,0,0,"IF", 1, 2, 0);
	trans[0][704]	= settr(703,2,713,143,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][713] = settr(712,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(712,0,705,0,0,"sub-sequence", 1, 2, 0);
	trans[0][705]	= settr(704,0,1310,144,144,"packet[1].used = 0", 1, 2, 0); /* m: 706 -> 0,1310 */
	reached0[706] = 1;
	trans[0][706]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][707]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][708]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][709]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][710]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][711]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][712]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][738]	= settr(737,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][714]	= settr(713,2,715,2,0,"else", 1, 2, 0);
	trans[0][715]	= settr(714,2,735,145,145,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0);
	T = trans[0][735] = settr(734,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(734,2,716,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(734,2,719,0,0,"IF", 1, 2, 0);
	trans[0][716]	= settr(715,0,1310,146,146,"(((packet[1].position+1)<2))", 1, 2, 0); /* m: 717 -> 1310,0 */
	reached0[717] = 1;
	trans[0][717]	= settr(0,0,0,0,0,"packet[1].position = (packet[1].position+1)",0,0,0);
	trans[0][718]	= settr(0,0,0,0,0,"packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][736]	= settr(735,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][719]	= settr(718,2,733,2,0,"else", 1, 2, 0);
	T = trans[0][733] = settr(732,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(732,2,720,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(732,2,723,0,0,"IF", 1, 2, 0);
	trans[0][720]	= settr(719,0,1310,147,147,"((packet[1].claimant!=7))", 1, 2, 0); /* m: 721 -> 1310,0 */
	reached0[721] = 1;
	trans[0][721]	= settr(0,0,0,0,0,"packet[1].at = packet[1].claimant",0,0,0);
	trans[0][722]	= settr(0,0,0,0,0,"packet[1].returning = 1",0,0,0);
	trans[0][734]	= settr(733,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][723]	= settr(722,2,732,2,0,"else", 1, 2, 0);
	T = trans[ 0][732] = settr(731,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(731,0,724,0,0,"sub-sequence", 1, 2, 0);
	trans[0][724]	= settr(723,0,1310,148,148,"packet[1].used = 0", 1, 2, 0); /* m: 725 -> 0,1310 */
	reached0[725] = 1;
	trans[0][725]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][726]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][727]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][728]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][729]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][730]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][731]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][749]	= settr(748,2,832,149,0,"(((!(foreign[i])&&!(known[i]))&&!(packet[1].first)))", 1, 2, 0);
	T = trans[0][832] = settr(831,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(831,2,750,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(831,2,778,0,0,"IF", 1, 2, 0);
	trans[0][750]	= settr(749,2,777,150,0,"((((note[i]!=7)&&(note[i]!=6))&&(packet[1].hops<8)))", 1, 2, 0);
	T = trans[ 0][777] = settr(776,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(776,0,775,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][775] = settr(774,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(774,2,751,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(774,2,761,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(774,2,771,0,0,"IF", 1, 2, 0);
	trans[0][751]	= settr(750,2,760,151,151,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][760] = settr(759,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(759,0,752,0,0,"sub-sequence", 1, 2, 0);
	trans[0][752]	= settr(751,0,1310,152,152,"packet[1].used = 0", 1, 2, 0); /* m: 753 -> 0,1310 */
	reached0[753] = 1;
	trans[0][753]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][754]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][755]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][756]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][757]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][758]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][759]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][776]	= settr(775,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][761]	= settr(760,2,770,153,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][770] = settr(769,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(769,0,762,0,0,"sub-sequence", 1, 2, 0);
	trans[0][762]	= settr(761,0,1310,154,154,"packet[1].used = 0", 1, 2, 0); /* m: 763 -> 0,1310 */
	reached0[763] = 1;
	trans[0][763]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][764]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][765]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][766]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][767]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][768]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][769]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][771]	= settr(770,2,772,2,0,"else", 1, 2, 0);
	trans[0][772]	= settr(771,0,1310,155,155,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0); /* m: 773 -> 0,1310 */
	reached0[773] = 1;
	trans[0][773]	= settr(0,0,0,0,0,"packet[1].at = note[i]",0,0,0);
	trans[0][774]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][833]	= settr(832,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][778]	= settr(777,2,830,2,0,"else", 1, 2, 0);
	T = trans[0][830] = settr(829,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(829,2,779,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(829,2,816,0,0,"IF", 1, 2, 0);
	trans[0][779]	= settr(778,2,815,156,0,"(!(((packet[1].position+1)>=2)))", 1, 2, 0);
	T = trans[ 0][815] = settr(814,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(814,0,813,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][813] = settr(812,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(812,2,780,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(812,2,790,0,0,"IF", 1, 2, 0);
	trans[0][780]	= settr(779,2,789,157,0,"((packet[1].hops>=8))", 1, 2, 0);
	T = trans[ 0][789] = settr(788,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(788,0,781,0,0,"sub-sequence", 1, 2, 0);
	trans[0][781]	= settr(780,0,1310,158,158,"packet[1].used = 0", 1, 2, 0); /* m: 782 -> 0,1310 */
	reached0[782] = 1;
	trans[0][782]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][783]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][784]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][785]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][786]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][787]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][788]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][814]	= settr(813,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][790]	= settr(789,2,791,2,0,"else", 1, 2, 0);
	trans[0][791]	= settr(790,2,811,159,159,"packet[1].hops = (packet[1].hops+1)", 1, 2, 0);
	T = trans[0][811] = settr(810,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(810,2,792,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(810,2,795,0,0,"IF", 1, 2, 0);
	trans[0][792]	= settr(791,0,1310,160,160,"(((packet[1].position+1)<2))", 1, 2, 0); /* m: 793 -> 1310,0 */
	reached0[793] = 1;
	trans[0][793]	= settr(0,0,0,0,0,"packet[1].position = (packet[1].position+1)",0,0,0);
	trans[0][794]	= settr(0,0,0,0,0,"packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][812]	= settr(811,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][795]	= settr(794,2,809,2,0,"else", 1, 2, 0);
	T = trans[0][809] = settr(808,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(808,2,796,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(808,2,799,0,0,"IF", 1, 2, 0);
	trans[0][796]	= settr(795,0,1310,161,161,"((packet[1].claimant!=7))", 1, 2, 0); /* m: 797 -> 1310,0 */
	reached0[797] = 1;
	trans[0][797]	= settr(0,0,0,0,0,"packet[1].at = packet[1].claimant",0,0,0);
	trans[0][798]	= settr(0,0,0,0,0,"packet[1].returning = 1",0,0,0);
	trans[0][810]	= settr(809,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][799]	= settr(798,2,808,2,0,"else", 1, 2, 0);
	T = trans[ 0][808] = settr(807,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(807,0,800,0,0,"sub-sequence", 1, 2, 0);
	trans[0][800]	= settr(799,0,1310,162,162,"packet[1].used = 0", 1, 2, 0); /* m: 801 -> 0,1310 */
	reached0[801] = 1;
	trans[0][801]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][802]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][803]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][804]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][805]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][806]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][807]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][831]	= settr(830,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][816]	= settr(815,2,828,2,0,"else", 1, 2, 0);
	T = trans[0][828] = settr(827,2,0,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(827,2,817,0,0,"IF", 1, 2, 0);
	trans[0][817]	= settr(816,2,827,163,163,"(1)", 1, 2, 0); /* m: 818 -> 827,0 */
	reached0[818] = 1;
	trans[0][818]	= settr(0,0,0,0,0,"assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))",0,0,0);
	T = trans[ 0][827] = settr(826,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(826,0,819,0,0,"sub-sequence", 1, 2, 0);
	trans[0][819]	= settr(818,0,1310,164,164,"packet[1].used = 0", 1, 2, 0); /* m: 820 -> 0,1310 */
	reached0[820] = 1;
	trans[0][820]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][821]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][822]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][823]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][824]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][825]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][826]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	trans[0][829]	= settr(828,2,835,1,0,".(goto)", 1, 2, 0); /* m: 835 -> 0,1310 */
	reached0[835] = 1;
	trans[0][836]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][1221] = settr(1220,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1220,2,839,0,0,"ATOMIC", 1, 2, 0);
	trans[0][839]	= settr(838,2,1220,165,0,"(packet[2].used)", 1, 2, 0);
	T = trans[ 0][1220] = settr(1219,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1219,0,840,0,0,"sub-sequence", 1, 2, 0);
	trans[0][840]	= settr(839,2,1217,166,166,"i = packet[2].at", 1, 2, 0);
	T = trans[0][1217] = settr(1216,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1216,2,841,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1216,2,851,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1216,2,861,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1216,2,889,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1216,2,1132,0,0,"IF", 1, 2, 0);
	trans[0][841]	= settr(840,2,850,167,167,"(foreign[i])", 1, 2, 0);
	T = trans[ 0][850] = settr(849,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(849,0,842,0,0,"sub-sequence", 1, 2, 0);
	trans[0][842]	= settr(841,0,1310,168,168,"packet[2].used = 0", 1, 2, 0); /* m: 843 -> 0,1310 */
	reached0[843] = 1;
	trans[0][843]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][844]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][845]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][846]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][847]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][848]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][849]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1218]	= settr(1217,0,1310,169,169,".(goto)", 1, 2, 0); /* m: 1219 -> 0,1310 */
	reached0[1219] = 1;
	trans[0][851]	= settr(850,2,860,170,170,"(known[i])", 1, 2, 0);
	T = trans[ 0][860] = settr(859,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(859,0,852,0,0,"sub-sequence", 1, 2, 0);
	trans[0][852]	= settr(851,0,1310,171,171,"packet[2].used = 0", 1, 2, 0); /* m: 853 -> 0,1310 */
	reached0[853] = 1;
	trans[0][853]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][854]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][855]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][856]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][857]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][858]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][859]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][861]	= settr(860,2,888,172,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[2].first))", 1, 2, 0);
	T = trans[ 0][888] = settr(887,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(887,0,886,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][886] = settr(885,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(885,2,862,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(885,2,872,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(885,2,882,0,0,"IF", 1, 2, 0);
	trans[0][862]	= settr(861,2,871,173,173,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][871] = settr(870,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(870,0,863,0,0,"sub-sequence", 1, 2, 0);
	trans[0][863]	= settr(862,0,1310,174,174,"packet[2].used = 0", 1, 2, 0); /* m: 864 -> 0,1310 */
	reached0[864] = 1;
	trans[0][864]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][865]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][866]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][867]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][868]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][869]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][870]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][887]	= settr(886,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][872]	= settr(871,2,881,175,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][881] = settr(880,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(880,0,873,0,0,"sub-sequence", 1, 2, 0);
	trans[0][873]	= settr(872,0,1310,176,176,"packet[2].used = 0", 1, 2, 0); /* m: 874 -> 0,1310 */
	reached0[874] = 1;
	trans[0][874]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][875]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][876]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][877]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][878]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][879]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][880]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][882]	= settr(881,2,883,2,0,"else", 1, 2, 0);
	trans[0][883]	= settr(882,0,1310,177,177,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0); /* m: 884 -> 0,1310 */
	reached0[884] = 1;
	trans[0][884]	= settr(0,0,0,0,0,"packet[2].at = note[i]",0,0,0);
	trans[0][885]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][889]	= settr(888,2,1131,178,0,"((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[2].first))", 1, 2, 0);
	T = trans[ 0][1131] = settr(1130,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1130,0,1129,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][1129] = settr(1128,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1128,2,890,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1128,2,920,0,0,"IF", 1, 2, 0);
	trans[0][890]	= settr(889,2,918,179,0,"((packet[2].returning&&(packet[2].claimant==i)))", 1, 2, 0);
	T = trans[0][918] = settr(917,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(917,2,891,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(917,2,908,0,0,"IF", 1, 2, 0);
	trans[0][891]	= settr(890,2,907,180,0,"(claiming[i])", 1, 2, 0);
	T = trans[ 0][907] = settr(906,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(906,0,892,0,0,"sub-sequence", 1, 2, 0);
	trans[0][892]	= settr(891,2,906,181,181,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 893 -> 0,906 */
	reached0[893] = 1;
	trans[0][893]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][894]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][895]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][896]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][897]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][906] = settr(905,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(905,0,898,0,0,"sub-sequence", 1, 2, 0);
	trans[0][898]	= settr(897,0,1310,182,182,"packet[2].used = 0", 1, 2, 0); /* m: 899 -> 0,1310 */
	reached0[899] = 1;
	trans[0][899]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][900]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][901]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][902]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][903]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][904]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][905]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][919]	= settr(918,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][908]	= settr(907,2,917,2,0,"else", 1, 2, 0);
	T = trans[ 0][917] = settr(916,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(916,0,909,0,0,"sub-sequence", 1, 2, 0);
	trans[0][909]	= settr(908,0,1310,183,183,"packet[2].used = 0", 1, 2, 0); /* m: 910 -> 0,1310 */
	reached0[910] = 1;
	trans[0][910]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][911]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][912]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][913]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][914]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][915]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][916]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1130]	= settr(1129,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][920]	= settr(919,2,1127,2,0,"else", 1, 2, 0);
	T = trans[0][1127] = settr(1126,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1126,2,921,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1126,2,973,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1126,2,983,0,0,"IF", 1, 2, 0);
	trans[0][921]	= settr(920,2,971,184,0,"(((packet[2].claimant!=7)&&(packet[2].claimant!=i)))", 1, 2, 0);
	T = trans[0][971] = settr(970,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(970,2,922,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(970,2,932,0,0,"IF", 1, 2, 0);
	trans[0][922]	= settr(921,2,931,185,185,"((claiming[i]&&(i<packet[2].claimant)))", 1, 2, 0);
	T = trans[ 0][931] = settr(930,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(930,0,923,0,0,"sub-sequence", 1, 2, 0);
	trans[0][923]	= settr(922,0,1310,186,186,"packet[2].used = 0", 1, 2, 0); /* m: 924 -> 0,1310 */
	reached0[924] = 1;
	trans[0][924]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][925]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][926]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][927]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][928]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][929]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][930]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][972]	= settr(971,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][932]	= settr(931,2,933,2,0,"else", 1, 2, 0);
	trans[0][933]	= settr(932,2,970,187,187,"claiming[i] = 0", 1, 2, 0); /* m: 934 -> 0,970 */
	reached0[934] = 1;
	trans[0][934]	= settr(0,0,0,0,0,"note[i] = packet[2].claimant",0,0,0);
	T = trans[ 0][970] = settr(969,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(969,0,968,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][968] = settr(967,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(967,2,935,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(967,2,945,0,0,"IF", 1, 2, 0);
	trans[0][935]	= settr(934,2,944,188,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][944] = settr(943,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(943,0,936,0,0,"sub-sequence", 1, 2, 0);
	trans[0][936]	= settr(935,0,1310,189,189,"packet[2].used = 0", 1, 2, 0); /* m: 937 -> 0,1310 */
	reached0[937] = 1;
	trans[0][937]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][938]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][939]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][940]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][941]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][942]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][943]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][969]	= settr(968,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][945]	= settr(944,2,946,2,0,"else", 1, 2, 0);
	trans[0][946]	= settr(945,2,966,190,190,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0);
	T = trans[0][966] = settr(965,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(965,2,947,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(965,2,950,0,0,"IF", 1, 2, 0);
	trans[0][947]	= settr(946,0,1310,191,191,"(((packet[2].position+1)<2))", 1, 2, 0); /* m: 948 -> 1310,0 */
	reached0[948] = 1;
	trans[0][948]	= settr(0,0,0,0,0,"packet[2].position = (packet[2].position+1)",0,0,0);
	trans[0][949]	= settr(0,0,0,0,0,"packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][967]	= settr(966,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][950]	= settr(949,2,964,2,0,"else", 1, 2, 0);
	T = trans[0][964] = settr(963,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(963,2,951,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(963,2,954,0,0,"IF", 1, 2, 0);
	trans[0][951]	= settr(950,0,1310,192,192,"((packet[2].claimant!=7))", 1, 2, 0); /* m: 952 -> 1310,0 */
	reached0[952] = 1;
	trans[0][952]	= settr(0,0,0,0,0,"packet[2].at = packet[2].claimant",0,0,0);
	trans[0][953]	= settr(0,0,0,0,0,"packet[2].returning = 1",0,0,0);
	trans[0][965]	= settr(964,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][954]	= settr(953,2,963,2,0,"else", 1, 2, 0);
	T = trans[ 0][963] = settr(962,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(962,0,955,0,0,"sub-sequence", 1, 2, 0);
	trans[0][955]	= settr(954,0,1310,193,193,"packet[2].used = 0", 1, 2, 0); /* m: 956 -> 0,1310 */
	reached0[956] = 1;
	trans[0][956]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][957]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][958]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][959]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][960]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][961]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][962]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1128]	= settr(1127,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][973]	= settr(972,2,982,194,194,"((packet[2].claimant==i))", 1, 2, 0);
	T = trans[ 0][982] = settr(981,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(981,0,974,0,0,"sub-sequence", 1, 2, 0);
	trans[0][974]	= settr(973,0,1310,195,195,"packet[2].used = 0", 1, 2, 0); /* m: 975 -> 0,1310 */
	reached0[975] = 1;
	trans[0][975]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][976]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][977]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][978]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][979]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][980]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][981]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][983]	= settr(982,2,1125,2,0,"else", 1, 2, 0);
	T = trans[0][1125] = settr(1124,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1124,2,984,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1124,2,1001,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1124,2,1060,0,0,"IF", 1, 2, 0);
	trans[0][984]	= settr(983,2,1000,196,0,"(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[2].view))&&!(1))))", 1, 2, 0);
	T = trans[ 0][1000] = settr(999,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(999,0,985,0,0,"sub-sequence", 1, 2, 0);
	trans[0][985]	= settr(984,2,999,197,197,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 986 -> 0,999 */
	reached0[986] = 1;
	trans[0][986]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][987]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][988]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][989]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][990]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][999] = settr(998,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(998,0,991,0,0,"sub-sequence", 1, 2, 0);
	trans[0][991]	= settr(990,0,1310,198,198,"packet[2].used = 0", 1, 2, 0); /* m: 992 -> 0,1310 */
	reached0[992] = 1;
	trans[0][992]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][993]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][994]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][995]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][996]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][997]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][998]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1126]	= settr(1125,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1001]	= settr(1000,2,1058,199,199,"(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[2].view))&&!(1)))))", 1, 2, 0); /* m: 1002 -> 1058,0 */
	reached0[1002] = 1;
	trans[0][1002]	= settr(0,0,0,0,0,"claiming[i] = 1",0,0,0);
	trans[0][1003]	= settr(0,0,0,0,0,"packet[2].claimant = i",0,0,0);
	T = trans[0][1058] = settr(1057,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1057,2,1004,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1057,2,1021,0,0,"IF", 1, 2, 0);
	trans[0][1004]	= settr(1003,2,1020,200,0,"((((packet[2].position+1)>=2)&&(packet[2].position==0)))", 1, 2, 0);
	T = trans[ 0][1020] = settr(1019,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1019,0,1005,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1005]	= settr(1004,2,1019,201,201,"assert(((!(known[0])&&!(known[1]))&&!(known[2])))", 1, 2, 0); /* m: 1006 -> 0,1019 */
	reached0[1006] = 1;
	trans[0][1006]	= settr(0,0,0,0,0,"assert(!((1&&refusalSent)))",0,0,0);
	trans[0][1007]	= settr(0,0,0,0,0,"known[i] = 1",0,0,0);
	trans[0][1008]	= settr(0,0,0,0,0,"establishedOnce = 1",0,0,0);
	trans[0][1009]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][1010]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	T = trans[ 0][1019] = settr(1018,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1018,0,1011,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1011]	= settr(1010,0,1310,202,202,"packet[2].used = 0", 1, 2, 0); /* m: 1012 -> 0,1310 */
	reached0[1012] = 1;
	trans[0][1012]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1013]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1014]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1015]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1016]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1017]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1018]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1059]	= settr(1058,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1021]	= settr(1020,2,1057,2,0,"else", 1, 2, 0);
	T = trans[ 0][1057] = settr(1056,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1056,0,1055,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][1055] = settr(1054,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1054,2,1022,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1054,2,1032,0,0,"IF", 1, 2, 0);
	trans[0][1022]	= settr(1021,2,1031,203,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][1031] = settr(1030,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1030,0,1023,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1023]	= settr(1022,0,1310,204,204,"packet[2].used = 0", 1, 2, 0); /* m: 1024 -> 0,1310 */
	reached0[1024] = 1;
	trans[0][1024]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1025]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1026]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1027]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1028]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1029]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1030]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1056]	= settr(1055,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1032]	= settr(1031,2,1033,2,0,"else", 1, 2, 0);
	trans[0][1033]	= settr(1032,2,1053,205,205,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0);
	T = trans[0][1053] = settr(1052,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1052,2,1034,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1052,2,1037,0,0,"IF", 1, 2, 0);
	trans[0][1034]	= settr(1033,0,1310,206,206,"(((packet[2].position+1)<2))", 1, 2, 0); /* m: 1035 -> 1310,0 */
	reached0[1035] = 1;
	trans[0][1035]	= settr(0,0,0,0,0,"packet[2].position = (packet[2].position+1)",0,0,0);
	trans[0][1036]	= settr(0,0,0,0,0,"packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][1054]	= settr(1053,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1037]	= settr(1036,2,1051,2,0,"else", 1, 2, 0);
	T = trans[0][1051] = settr(1050,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1050,2,1038,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1050,2,1041,0,0,"IF", 1, 2, 0);
	trans[0][1038]	= settr(1037,0,1310,207,207,"((packet[2].claimant!=7))", 1, 2, 0); /* m: 1039 -> 1310,0 */
	reached0[1039] = 1;
	trans[0][1039]	= settr(0,0,0,0,0,"packet[2].at = packet[2].claimant",0,0,0);
	trans[0][1040]	= settr(0,0,0,0,0,"packet[2].returning = 1",0,0,0);
	trans[0][1052]	= settr(1051,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1041]	= settr(1040,2,1050,2,0,"else", 1, 2, 0);
	T = trans[ 0][1050] = settr(1049,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1049,0,1042,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1042]	= settr(1041,0,1310,208,208,"packet[2].used = 0", 1, 2, 0); /* m: 1043 -> 0,1310 */
	reached0[1043] = 1;
	trans[0][1043]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1044]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1045]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1046]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1047]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1048]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1049]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1060]	= settr(1059,2,1123,2,0,"else", 1, 2, 0);
	T = trans[0][1123] = settr(1122,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1122,2,1061,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1122,2,1075,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1122,2,1085,0,0,"IF", 1, 2, 0);
	trans[0][1061]	= settr(1060,2,1074,209,0,"((((packet[2].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[2].view))))", 1, 2, 0);
	T = trans[ 0][1074] = settr(1073,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1073,0,1062,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1062]	= settr(1061,2,1073,210,210,"assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))", 1, 2, 0); /* m: 1063 -> 0,1073 */
	reached0[1063] = 1;
	trans[0][1063]	= settr(0,0,0,0,0,"refusalSent = 1",0,0,0);
	trans[0][1064]	= settr(0,0,0,0,0,"note[i] = 6",0,0,0);
	T = trans[ 0][1073] = settr(1072,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1072,0,1065,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1065]	= settr(1064,0,1310,211,211,"packet[2].used = 0", 1, 2, 0); /* m: 1066 -> 0,1310 */
	reached0[1066] = 1;
	trans[0][1066]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1067]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1068]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1069]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1070]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1071]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1072]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1124]	= settr(1123,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1075]	= settr(1074,2,1084,212,212,"((((packet[2].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[2].view)))))", 1, 2, 0);
	T = trans[ 0][1084] = settr(1083,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1083,0,1076,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1076]	= settr(1075,0,1310,213,213,"packet[2].used = 0", 1, 2, 0); /* m: 1077 -> 0,1310 */
	reached0[1077] = 1;
	trans[0][1077]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1078]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1079]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1080]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1081]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1082]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1083]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1085]	= settr(1084,2,1086,2,0,"else", 1, 2, 0);
	trans[0][1086]	= settr(1085,2,1122,214,214,"note[i] = ( ((packet[2].view==0)) -> (( (((packet[2].position+1)==0)) -> (0) : (1) )) : (( (((packet[2].position+1)==0)) -> (1) : (0) )) )", 1, 2, 0);
	T = trans[ 0][1122] = settr(1121,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1121,0,1120,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][1120] = settr(1119,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1119,2,1087,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1119,2,1097,0,0,"IF", 1, 2, 0);
	trans[0][1087]	= settr(1086,2,1096,215,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][1096] = settr(1095,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1095,0,1088,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1088]	= settr(1087,0,1310,216,216,"packet[2].used = 0", 1, 2, 0); /* m: 1089 -> 0,1310 */
	reached0[1089] = 1;
	trans[0][1089]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1090]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1091]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1092]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1093]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1094]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1095]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1121]	= settr(1120,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1097]	= settr(1096,2,1098,2,0,"else", 1, 2, 0);
	trans[0][1098]	= settr(1097,2,1118,217,217,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0);
	T = trans[0][1118] = settr(1117,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1117,2,1099,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1117,2,1102,0,0,"IF", 1, 2, 0);
	trans[0][1099]	= settr(1098,0,1310,218,218,"(((packet[2].position+1)<2))", 1, 2, 0); /* m: 1100 -> 1310,0 */
	reached0[1100] = 1;
	trans[0][1100]	= settr(0,0,0,0,0,"packet[2].position = (packet[2].position+1)",0,0,0);
	trans[0][1101]	= settr(0,0,0,0,0,"packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][1119]	= settr(1118,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1102]	= settr(1101,2,1116,2,0,"else", 1, 2, 0);
	T = trans[0][1116] = settr(1115,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1115,2,1103,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1115,2,1106,0,0,"IF", 1, 2, 0);
	trans[0][1103]	= settr(1102,0,1310,219,219,"((packet[2].claimant!=7))", 1, 2, 0); /* m: 1104 -> 1310,0 */
	reached0[1104] = 1;
	trans[0][1104]	= settr(0,0,0,0,0,"packet[2].at = packet[2].claimant",0,0,0);
	trans[0][1105]	= settr(0,0,0,0,0,"packet[2].returning = 1",0,0,0);
	trans[0][1117]	= settr(1116,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1106]	= settr(1105,2,1115,2,0,"else", 1, 2, 0);
	T = trans[ 0][1115] = settr(1114,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1114,0,1107,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1107]	= settr(1106,0,1310,220,220,"packet[2].used = 0", 1, 2, 0); /* m: 1108 -> 0,1310 */
	reached0[1108] = 1;
	trans[0][1108]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1109]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1110]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1111]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1112]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1113]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1114]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1132]	= settr(1131,2,1215,221,0,"(((!(foreign[i])&&!(known[i]))&&!(packet[2].first)))", 1, 2, 0);
	T = trans[0][1215] = settr(1214,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1214,2,1133,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1214,2,1161,0,0,"IF", 1, 2, 0);
	trans[0][1133]	= settr(1132,2,1160,222,0,"((((note[i]!=7)&&(note[i]!=6))&&(packet[2].hops<8)))", 1, 2, 0);
	T = trans[ 0][1160] = settr(1159,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1159,0,1158,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][1158] = settr(1157,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1157,2,1134,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1157,2,1144,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1157,2,1154,0,0,"IF", 1, 2, 0);
	trans[0][1134]	= settr(1133,2,1143,223,223,"((note[i]==6))", 1, 2, 0);
	T = trans[ 0][1143] = settr(1142,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1142,0,1135,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1135]	= settr(1134,0,1310,224,224,"packet[2].used = 0", 1, 2, 0); /* m: 1136 -> 0,1310 */
	reached0[1136] = 1;
	trans[0][1136]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1137]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1138]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1139]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1140]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1141]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1142]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1159]	= settr(1158,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1144]	= settr(1143,2,1153,225,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][1153] = settr(1152,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1152,0,1145,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1145]	= settr(1144,0,1310,226,226,"packet[2].used = 0", 1, 2, 0); /* m: 1146 -> 0,1310 */
	reached0[1146] = 1;
	trans[0][1146]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1147]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1148]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1149]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1150]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1151]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1152]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1154]	= settr(1153,2,1155,2,0,"else", 1, 2, 0);
	trans[0][1155]	= settr(1154,0,1310,227,227,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0); /* m: 1156 -> 0,1310 */
	reached0[1156] = 1;
	trans[0][1156]	= settr(0,0,0,0,0,"packet[2].at = note[i]",0,0,0);
	trans[0][1157]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1216]	= settr(1215,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1161]	= settr(1160,2,1213,2,0,"else", 1, 2, 0);
	T = trans[0][1213] = settr(1212,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1212,2,1162,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1212,2,1199,0,0,"IF", 1, 2, 0);
	trans[0][1162]	= settr(1161,2,1198,228,0,"(!(((packet[2].position+1)>=2)))", 1, 2, 0);
	T = trans[ 0][1198] = settr(1197,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1197,0,1196,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][1196] = settr(1195,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1195,2,1163,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1195,2,1173,0,0,"IF", 1, 2, 0);
	trans[0][1163]	= settr(1162,2,1172,229,0,"((packet[2].hops>=8))", 1, 2, 0);
	T = trans[ 0][1172] = settr(1171,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1171,0,1164,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1164]	= settr(1163,0,1310,230,230,"packet[2].used = 0", 1, 2, 0); /* m: 1165 -> 0,1310 */
	reached0[1165] = 1;
	trans[0][1165]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1166]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1167]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1168]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1169]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1170]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1171]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1197]	= settr(1196,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1173]	= settr(1172,2,1174,2,0,"else", 1, 2, 0);
	trans[0][1174]	= settr(1173,2,1194,231,231,"packet[2].hops = (packet[2].hops+1)", 1, 2, 0);
	T = trans[0][1194] = settr(1193,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1193,2,1175,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1193,2,1178,0,0,"IF", 1, 2, 0);
	trans[0][1175]	= settr(1174,0,1310,232,232,"(((packet[2].position+1)<2))", 1, 2, 0); /* m: 1176 -> 1310,0 */
	reached0[1176] = 1;
	trans[0][1176]	= settr(0,0,0,0,0,"packet[2].position = (packet[2].position+1)",0,0,0);
	trans[0][1177]	= settr(0,0,0,0,0,"packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )",0,0,0);
	trans[0][1195]	= settr(1194,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1178]	= settr(1177,2,1192,2,0,"else", 1, 2, 0);
	T = trans[0][1192] = settr(1191,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1191,2,1179,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1191,2,1182,0,0,"IF", 1, 2, 0);
	trans[0][1179]	= settr(1178,0,1310,233,233,"((packet[2].claimant!=7))", 1, 2, 0); /* m: 1180 -> 1310,0 */
	reached0[1180] = 1;
	trans[0][1180]	= settr(0,0,0,0,0,"packet[2].at = packet[2].claimant",0,0,0);
	trans[0][1181]	= settr(0,0,0,0,0,"packet[2].returning = 1",0,0,0);
	trans[0][1193]	= settr(1192,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1182]	= settr(1181,2,1191,2,0,"else", 1, 2, 0);
	T = trans[ 0][1191] = settr(1190,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1190,0,1183,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1183]	= settr(1182,0,1310,234,234,"packet[2].used = 0", 1, 2, 0); /* m: 1184 -> 0,1310 */
	reached0[1184] = 1;
	trans[0][1184]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1185]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1186]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1187]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1188]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1189]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1190]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1214]	= settr(1213,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1199]	= settr(1198,2,1211,2,0,"else", 1, 2, 0);
	T = trans[0][1211] = settr(1210,2,0,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1210,2,1200,0,0,"IF", 1, 2, 0);
	trans[0][1200]	= settr(1199,2,1210,235,235,"(1)", 1, 2, 0); /* m: 1201 -> 1210,0 */
	reached0[1201] = 1;
	trans[0][1201]	= settr(0,0,0,0,0,"assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))",0,0,0);
	T = trans[ 0][1210] = settr(1209,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1209,0,1202,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1202]	= settr(1201,0,1310,236,236,"packet[2].used = 0", 1, 2, 0); /* m: 1203 -> 0,1310 */
	reached0[1203] = 1;
	trans[0][1203]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1204]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1205]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1206]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1207]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1208]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1209]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	trans[0][1212]	= settr(1211,2,1218,1,0,".(goto)", 1, 2, 0); /* m: 1218 -> 0,1310 */
	reached0[1218] = 1;
	trans[0][1219]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][1232] = settr(1231,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1231,2,1222,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1222]	= settr(1221,2,1231,237,0,"((packet[0].used&&packet[0].first))", 1, 2, 0);
	T = trans[ 0][1231] = settr(1230,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1230,0,1223,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1223]	= settr(1222,0,1310,238,238,"packet[0].used = 0", 1, 2, 0); /* m: 1224 -> 0,1310 */
	reached0[1224] = 1;
	trans[0][1224]	= settr(0,0,0,0,0,"packet[0].first = 0",0,0,0);
	trans[0][1225]	= settr(0,0,0,0,0,"packet[0].view = 0",0,0,0);
	trans[0][1226]	= settr(0,0,0,0,0,"packet[0].at = 0",0,0,0);
	trans[0][1227]	= settr(0,0,0,0,0,"packet[0].position = 0",0,0,0);
	trans[0][1228]	= settr(0,0,0,0,0,"packet[0].claimant = 7",0,0,0);
	trans[0][1229]	= settr(0,0,0,0,0,"packet[0].returning = 0",0,0,0);
	trans[0][1230]	= settr(0,0,0,0,0,"packet[0].hops = 0",0,0,0);
	T = trans[ 0][1243] = settr(1242,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1242,2,1233,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1233]	= settr(1232,2,1242,239,0,"((packet[1].used&&packet[1].first))", 1, 2, 0);
	T = trans[ 0][1242] = settr(1241,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1241,0,1234,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1234]	= settr(1233,0,1310,240,240,"packet[1].used = 0", 1, 2, 0); /* m: 1235 -> 0,1310 */
	reached0[1235] = 1;
	trans[0][1235]	= settr(0,0,0,0,0,"packet[1].first = 0",0,0,0);
	trans[0][1236]	= settr(0,0,0,0,0,"packet[1].view = 0",0,0,0);
	trans[0][1237]	= settr(0,0,0,0,0,"packet[1].at = 0",0,0,0);
	trans[0][1238]	= settr(0,0,0,0,0,"packet[1].position = 0",0,0,0);
	trans[0][1239]	= settr(0,0,0,0,0,"packet[1].claimant = 7",0,0,0);
	trans[0][1240]	= settr(0,0,0,0,0,"packet[1].returning = 0",0,0,0);
	trans[0][1241]	= settr(0,0,0,0,0,"packet[1].hops = 0",0,0,0);
	T = trans[ 0][1254] = settr(1253,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1253,2,1244,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1244]	= settr(1243,2,1253,241,0,"((packet[2].used&&packet[2].first))", 1, 2, 0);
	T = trans[ 0][1253] = settr(1252,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1252,0,1245,0,0,"sub-sequence", 1, 2, 0);
	trans[0][1245]	= settr(1244,0,1310,242,242,"packet[2].used = 0", 1, 2, 0); /* m: 1246 -> 0,1310 */
	reached0[1246] = 1;
	trans[0][1246]	= settr(0,0,0,0,0,"packet[2].first = 0",0,0,0);
	trans[0][1247]	= settr(0,0,0,0,0,"packet[2].view = 0",0,0,0);
	trans[0][1248]	= settr(0,0,0,0,0,"packet[2].at = 0",0,0,0);
	trans[0][1249]	= settr(0,0,0,0,0,"packet[2].position = 0",0,0,0);
	trans[0][1250]	= settr(0,0,0,0,0,"packet[2].claimant = 7",0,0,0);
	trans[0][1251]	= settr(0,0,0,0,0,"packet[2].returning = 0",0,0,0);
	trans[0][1252]	= settr(0,0,0,0,0,"packet[2].hops = 0",0,0,0);
	T = trans[ 0][1257] = settr(1256,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1256,2,1255,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1255]	= settr(1254,0,1310,243,243,"(!(changed))", 1, 2, 0); /* m: 1256 -> 1310,0 */
	reached0[1256] = 1;
	trans[0][1256]	= settr(0,0,0,0,0,"changed = 1",0,0,0);
	T = trans[ 0][1260] = settr(1259,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1259,2,1258,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1258]	= settr(1257,0,1310,244,244,"((changed&&(entryView[0]==0)))", 1, 2, 0); /* m: 1259 -> 1310,0 */
	reached0[1259] = 1;
	trans[0][1259]	= settr(0,0,0,0,0,"entryView[0] = 1",0,0,0);
	T = trans[ 0][1263] = settr(1262,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1262,2,1261,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1261]	= settr(1260,0,1310,245,245,"((changed&&(entryView[1]==0)))", 1, 2, 0); /* m: 1262 -> 1310,0 */
	reached0[1262] = 1;
	trans[0][1262]	= settr(0,0,0,0,0,"entryView[1] = 1",0,0,0);
	T = trans[ 0][1267] = settr(1266,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1266,2,1264,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1264]	= settr(1263,0,1310,246,246,"((changed&&(agentView[0]==0)))", 1, 2, 0); /* m: 1265 -> 1310,0 */
	reached0[1265] = 1;
	trans[0][1265]	= settr(0,0,0,0,0,"agentView[0] = 1",0,0,0);
	trans[0][1266]	= settr(0,0,0,0,0,"windowOver[0] = 0",0,0,0);
	T = trans[ 0][1271] = settr(1270,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1270,2,1268,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1268]	= settr(1267,0,1310,247,247,"((changed&&(agentView[1]==0)))", 1, 2, 0); /* m: 1269 -> 1310,0 */
	reached0[1269] = 1;
	trans[0][1269]	= settr(0,0,0,0,0,"agentView[1] = 1",0,0,0);
	trans[0][1270]	= settr(0,0,0,0,0,"windowOver[1] = 0",0,0,0);
	T = trans[ 0][1274] = settr(1273,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1273,2,1272,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1272]	= settr(1271,0,1310,248,248,"(((changed&&!(windowOver[0]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))", 1, 2, 0); /* m: 1273 -> 1310,0 */
	reached0[1273] = 1;
	trans[0][1273]	= settr(0,0,0,0,0,"windowOver[0] = 1",0,0,0);
	T = trans[ 0][1277] = settr(1276,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1276,2,1275,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1275]	= settr(1274,0,1310,249,249,"(((changed&&!(windowOver[1]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))", 1, 2, 0); /* m: 1276 -> 1310,0 */
	reached0[1276] = 1;
	trans[0][1276]	= settr(0,0,0,0,0,"windowOver[1] = 1",0,0,0);
	T = trans[ 0][1280] = settr(1279,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1279,2,1278,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1278]	= settr(1277,0,1310,250,250,"(((changed&&!(windowOver[2]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))", 1, 2, 0); /* m: 1279 -> 1310,0 */
	reached0[1279] = 1;
	trans[0][1279]	= settr(0,0,0,0,0,"windowOver[2] = 1",0,0,0);
	T = trans[ 0][1290] = settr(1289,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1289,2,1281,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1281]	= settr(1280,2,1285,251,0,"((flips<2))", 1, 2, 0);
	T = trans[0][1285] = settr(1284,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1284,2,1282,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1284,2,1283,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1284,2,1284,0,0,"IF", 1, 2, 0);
	trans[0][1282]	= settr(1281,0,1310,252,252,"i = 0", 1, 2, 0); /* m: 1287 -> 0,1310 */
	reached0[1287] = 1;
	trans[0][1286]	= settr(1285,2,1287,1,0,".(goto)", 1, 2, 0); /* m: 1287 -> 0,1310 */
	reached0[1287] = 1;
	trans[0][1283]	= settr(1282,0,1310,253,253,"i = 1", 1, 2, 0); /* m: 1287 -> 0,1310 */
	reached0[1287] = 1;
	trans[0][1284]	= settr(1283,0,1310,254,254,"i = 2", 1, 2, 0); /* m: 1287 -> 0,1310 */
	reached0[1287] = 1;
	trans[0][1287]	= settr(1286,0,1310,255,255,"willing[i] = !(willing[i])", 1, 2, 0); /* m: 1288 -> 0,1310 */
	reached0[1288] = 1;
	trans[0][1288]	= settr(0,0,0,0,0,"flips = (flips+1)",0,0,0);
	trans[0][1289]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][1293] = settr(1292,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1292,2,1291,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1291]	= settr(1290,0,1310,256,256,"(!(draining[0]))", 1, 2, 0); /* m: 1292 -> 1310,0 */
	reached0[1292] = 1;
	trans[0][1292]	= settr(0,0,0,0,0,"draining[0] = 1",0,0,0);
	T = trans[ 0][1306] = settr(1305,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1305,2,1294,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1294]	= settr(1293,2,1298,257,0,"(!(restarted))", 1, 2, 0);
	T = trans[0][1298] = settr(1297,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1297,2,1295,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1297,2,1296,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1297,2,1297,0,0,"IF", 1, 2, 0);
	trans[0][1295]	= settr(1294,0,1310,258,258,"i = 0", 1, 2, 0); /* m: 1300 -> 0,1310 */
	reached0[1300] = 1;
	trans[0][1299]	= settr(1298,2,1300,1,0,".(goto)", 1, 2, 0); /* m: 1300 -> 0,1310 */
	reached0[1300] = 1;
	trans[0][1296]	= settr(1295,0,1310,259,259,"i = 1", 1, 2, 0); /* m: 1300 -> 0,1310 */
	reached0[1300] = 1;
	trans[0][1297]	= settr(1296,0,1310,260,260,"i = 2", 1, 2, 0); /* m: 1300 -> 0,1310 */
	reached0[1300] = 1;
	trans[0][1300]	= settr(1299,0,1310,261,261,"restarted = 1", 1, 2, 0); /* m: 1301 -> 0,1310 */
	reached0[1301] = 1;
	trans[0][1301]	= settr(0,0,0,0,0,"note[i] = 7",0,0,0);
	trans[0][1302]	= settr(0,0,0,0,0,"claiming[i] = 0",0,0,0);
	trans[0][1303]	= settr(0,0,0,0,0,"windowOver[i] = 0",0,0,0);
	trans[0][1304]	= settr(0,0,0,0,0,"startedBeforeAgreement = ( ((firstSent>0)) -> (1) : (startedBeforeAgreement) )",0,0,0);
	trans[0][1305]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][1309] = settr(1308,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1308,2,1307,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1307]	= settr(1306,0,1310,262,262,"(((((!(foreign[1])&&!(known[1]))&&!(claiming[1]))&&changed)&&(firstSent==2)))", 1, 2, 0); /* m: 1308 -> 1310,0 */
	reached0[1308] = 1;
	trans[0][1308]	= settr(0,0,0,0,0,"foreign[1] = 1",0,0,0);
	trans[0][1312]	= settr(1311,0,1313,1,0,"break", 0, 2, 0);
	trans[0][1313]	= settr(1312,0,0,263,263,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
