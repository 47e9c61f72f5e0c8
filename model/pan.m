#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC system */
	case 3: // STATE 14 - admission.pml:277 - [D_STEP277]
		IfNotBlocked

		reached[0][14] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		now.note[0] = 7;
#ifdef VAR_RANGES
		logval("note[0]", ((int)now.note[0]));
#endif
		;
S_001_0: /* 2 */
		now.note[1] = 7;
#ifdef VAR_RANGES
		logval("note[1]", ((int)now.note[1]));
#endif
		;
S_002_0: /* 2 */
		now.note[2] = 7;
#ifdef VAR_RANGES
		logval("note[2]", ((int)now.note[2]));
#endif
		;
S_003_0: /* 2 */
		now.windowOver[0] = 1;
#ifdef VAR_RANGES
		logval("windowOver[0]", ((int)now.windowOver[0]));
#endif
		;
S_004_0: /* 2 */
		now.windowOver[1] = 1;
#ifdef VAR_RANGES
		logval("windowOver[1]", ((int)now.windowOver[1]));
#endif
		;
S_005_0: /* 2 */
		now.windowOver[2] = 0;
#ifdef VAR_RANGES
		logval("windowOver[2]", ((int)now.windowOver[2]));
#endif
		;
S_006_0: /* 2 */
		now.willing[0] = 1;
#ifdef VAR_RANGES
		logval("willing[0]", ((int)now.willing[0]));
#endif
		;
S_007_0: /* 2 */
		now.willing[1] = 1;
#ifdef VAR_RANGES
		logval("willing[1]", ((int)now.willing[1]));
#endif
		;
S_008_0: /* 2 */
		now.willing[2] = 1;
#ifdef VAR_RANGES
		logval("willing[2]", ((int)now.willing[2]));
#endif
		;
S_009_0: /* 2 */
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
S_010_0: /* 2 */
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
S_011_0: /* 2 */
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
S_012_0: /* 2 */
		now.agentView[2] = 1;
#ifdef VAR_RANGES
		logval("agentView[2]", ((int)now.agentView[2]));
#endif
		;
		goto S_1310_0;
S_1310_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 4: // STATE 15 - admission.pml:290 - [(((firstSent<2)&&((!(packet[0].used)||!(packet[1].used))||!(packet[2].used))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][15] = 1;
		if (!(((((int)now.firstSent)<2)&&(( !(((int)now.packet[0].used))|| !(((int)now.packet[1].used)))|| !(((int)now.packet[2].used))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 16 - admission.pml:291 - [e = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][16] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 17 - admission.pml:291 - [e = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][17] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 1;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 20 - admission.pml:293 - [(!(packet[0].used))] (43:0:1 - 1)
		IfNotBlocked
		reached[0][20] = 1;
		if (!( !(((int)now.packet[0].used))))
			continue;
		/* merge: s = 0(0, 21, 43) */
		reached[0][21] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 27, 43) */
		reached[0][27] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 8: // STATE 22 - admission.pml:294 - [((packet[0].used&&!(packet[1].used)))] (43:0:1 - 1)
		IfNotBlocked
		reached[0][22] = 1;
		if (!((((int)now.packet[0].used)&& !(((int)now.packet[1].used)))))
			continue;
		/* merge: s = 1(0, 23, 43) */
		reached[0][23] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 1;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 27, 43) */
		reached[0][27] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 9: // STATE 24 - admission.pml:295 - [((packet[0].used&&packet[1].used))] (43:0:1 - 1)
		IfNotBlocked
		reached[0][24] = 1;
		if (!((((int)now.packet[0].used)&&((int)now.packet[1].used))))
			continue;
		/* merge: s = 2(0, 25, 43) */
		reached[0][25] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 2;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 27, 43) */
		reached[0][27] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 10: // STATE 28 - admission.pml:258 - [packet[s].used = 1] (0:41:9 - 1)
		IfNotBlocked
		reached[0][28] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].used);
		now.packet[ Index(((P0 *)_this)->s, 3) ].used = 1;
#ifdef VAR_RANGES
		logval("packet[system:s].used", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].used));
#endif
		;
		/* merge: packet[s].first = 1(41, 29, 41) */
		reached[0][29] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].first);
		now.packet[ Index(((P0 *)_this)->s, 3) ].first = 1;
#ifdef VAR_RANGES
		logval("packet[system:s].first", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].first));
#endif
		;
		/* merge: packet[s].view = entryView[e](41, 30, 41) */
		reached[0][30] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].view);
		now.packet[ Index(((P0 *)_this)->s, 3) ].view = ((int)now.entryView[ Index(((int)((P0 *)_this)->e), 2) ]);
#ifdef VAR_RANGES
		logval("packet[system:s].view", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].view));
#endif
		;
		/* merge: packet[s].position = 0(41, 31, 41) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].position);
		now.packet[ Index(((P0 *)_this)->s, 3) ].position = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].position", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].position));
#endif
		;
		/* merge: packet[s].at = ( ((entryView[e]==0)) -> (( ((0==0)) -> (0) : (1) )) : (( ((0==0)) -> (1) : (0) )) )(41, 32, 41) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].at);
		now.packet[ Index(((P0 *)_this)->s, 3) ].at = ( ((((int)now.entryView[ Index(((int)((P0 *)_this)->e), 2) ])==0)) ? (( ((0==0)) ? (0) : (1) )) : (( ((0==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[system:s].at", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].at));
#endif
		;
		/* merge: packet[s].claimant = 7(41, 33, 41) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].claimant);
		now.packet[ Index(((P0 *)_this)->s, 3) ].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[system:s].claimant", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].claimant));
#endif
		;
		/* merge: packet[s].returning = 0(41, 34, 41) */
		reached[0][34] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].returning);
		now.packet[ Index(((P0 *)_this)->s, 3) ].returning = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].returning", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].returning));
#endif
		;
		/* merge: packet[s].hops = 0(41, 35, 41) */
		reached[0][35] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].hops);
		now.packet[ Index(((P0 *)_this)->s, 3) ].hops = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].hops", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].hops));
#endif
		;
		/* merge: firstSent = (firstSent+1)(41, 36, 41) */
		reached[0][36] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.firstSent);
		now.firstSent = (((int)now.firstSent)+1);
#ifdef VAR_RANGES
		logval("firstSent", ((int)now.firstSent));
#endif
		;
		_m = 3; goto P999; /* 8 */
	case 11: // STATE 37 - admission.pml:262 - [((!((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1)))))||!(changed)))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][37] = 1;
		if (!(( !(((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1)))))|| !(((int)now.changed)))))
			continue;
		/* merge: startedBeforeAgreement = 1(1310, 38, 1310) */
		reached[0][38] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.startedBeforeAgreement);
		now.startedBeforeAgreement = 1;
#ifdef VAR_RANGES
		logval("startedBeforeAgreement", ((int)now.startedBeforeAgreement));
#endif
		;
		/* merge: .(goto)(1310, 42, 1310) */
		reached[0][42] = 1;
		;
		/* merge: e = 0(1310, 44, 1310) */
		reached[0][44] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		/* merge: s = 0(1310, 45, 1310) */
		reached[0][45] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 12: // STATE 40 - admission.pml:263 - [(1)] (1310:0:2 - 1)
		IfNotBlocked
		reached[0][40] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(1310, 42, 1310) */
		reached[0][42] = 1;
		;
		/* merge: e = 0(1310, 44, 1310) */
		reached[0][44] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		/* merge: s = 0(1310, 45, 1310) */
		reached[0][45] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 13: // STATE 44 - admission.pml:297 - [e = 0] (0:1310:2 - 3)
		IfNotBlocked
		reached[0][44] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		/* merge: s = 0(1310, 45, 1310) */
		reached[0][45] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 14: // STATE 47 - admission.pml:298 - [((((laterSent<1)&&((known[0]||known[1])||known[2]))&&((!(packet[0].used)||!(packet[1].used))||!(packet[2].used))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][47] = 1;
		if (!((((((int)now.laterSent)<1)&&((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2])))&&(( !(((int)now.packet[0].used))|| !(((int)now.packet[1].used)))|| !(((int)now.packet[2].used))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 15: // STATE 48 - admission.pml:299 - [e = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][48] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 16: // STATE 49 - admission.pml:299 - [e = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][49] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 1;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 17: // STATE 52 - admission.pml:301 - [(!(packet[0].used))] (69:0:1 - 1)
		IfNotBlocked
		reached[0][52] = 1;
		if (!( !(((int)now.packet[0].used))))
			continue;
		/* merge: s = 0(0, 53, 69) */
		reached[0][53] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 59, 69) */
		reached[0][59] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 18: // STATE 54 - admission.pml:302 - [((packet[0].used&&!(packet[1].used)))] (69:0:1 - 1)
		IfNotBlocked
		reached[0][54] = 1;
		if (!((((int)now.packet[0].used)&& !(((int)now.packet[1].used)))))
			continue;
		/* merge: s = 1(0, 55, 69) */
		reached[0][55] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 1;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 59, 69) */
		reached[0][59] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 19: // STATE 56 - admission.pml:303 - [((packet[0].used&&packet[1].used))] (69:0:1 - 1)
		IfNotBlocked
		reached[0][56] = 1;
		if (!((((int)now.packet[0].used)&&((int)now.packet[1].used))))
			continue;
		/* merge: s = 2(0, 57, 69) */
		reached[0][57] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 2;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 59, 69) */
		reached[0][59] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 20: // STATE 60 - admission.pml:268 - [packet[s].used = 1] (0:1310:11 - 1)
		IfNotBlocked
		reached[0][60] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].used);
		now.packet[ Index(((P0 *)_this)->s, 3) ].used = 1;
#ifdef VAR_RANGES
		logval("packet[system:s].used", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].used));
#endif
		;
		/* merge: packet[s].first = 0(1310, 61, 1310) */
		reached[0][61] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].first);
		now.packet[ Index(((P0 *)_this)->s, 3) ].first = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].first", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].first));
#endif
		;
		/* merge: packet[s].view = entryView[e](1310, 62, 1310) */
		reached[0][62] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].view);
		now.packet[ Index(((P0 *)_this)->s, 3) ].view = ((int)now.entryView[ Index(((int)((P0 *)_this)->e), 2) ]);
#ifdef VAR_RANGES
		logval("packet[system:s].view", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].view));
#endif
		;
		/* merge: packet[s].position = 0(1310, 63, 1310) */
		reached[0][63] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].position);
		now.packet[ Index(((P0 *)_this)->s, 3) ].position = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].position", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].position));
#endif
		;
		/* merge: packet[s].at = ( ((entryView[e]==0)) -> (( ((0==0)) -> (0) : (1) )) : (( ((0==0)) -> (1) : (0) )) )(1310, 64, 1310) */
		reached[0][64] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].at);
		now.packet[ Index(((P0 *)_this)->s, 3) ].at = ( ((((int)now.entryView[ Index(((int)((P0 *)_this)->e), 2) ])==0)) ? (( ((0==0)) ? (0) : (1) )) : (( ((0==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[system:s].at", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].at));
#endif
		;
		/* merge: packet[s].claimant = 7(1310, 65, 1310) */
		reached[0][65] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].claimant);
		now.packet[ Index(((P0 *)_this)->s, 3) ].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[system:s].claimant", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].claimant));
#endif
		;
		/* merge: packet[s].returning = 0(1310, 66, 1310) */
		reached[0][66] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].returning);
		now.packet[ Index(((P0 *)_this)->s, 3) ].returning = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].returning", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].returning));
#endif
		;
		/* merge: packet[s].hops = 0(1310, 67, 1310) */
		reached[0][67] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].hops);
		now.packet[ Index(((P0 *)_this)->s, 3) ].hops = 0;
#ifdef VAR_RANGES
		logval("packet[system:s].hops", ((int)now.packet[ Index(((int)((P0 *)_this)->s), 3) ].hops));
#endif
		;
		/* merge: laterSent = (laterSent+1)(1310, 68, 1310) */
		reached[0][68] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.laterSent);
		now.laterSent = (((int)now.laterSent)+1);
#ifdef VAR_RANGES
		logval("laterSent", ((int)now.laterSent));
#endif
		;
		/* merge: e = 0(1310, 70, 1310) */
		reached[0][70] = 1;
		(trpt+1)->bup.ovals[9] = ((int)((P0 *)_this)->e);
		((P0 *)_this)->e = 0;
#ifdef VAR_RANGES
		logval("system:e", ((int)((P0 *)_this)->e));
#endif
		;
		/* merge: s = 0(1310, 71, 1310) */
		reached[0][71] = 1;
		(trpt+1)->bup.ovals[10] = ((int)((P0 *)_this)->s);
		((P0 *)_this)->s = 0;
#ifdef VAR_RANGES
		logval("system:s", ((int)((P0 *)_this)->s));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 21: // STATE 73 - admission.pml:307 - [(packet[0].used)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][73] = 1;
		if (!(((int)now.packet[0].used)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 22: // STATE 74 - admission.pml:216 - [i = packet[0].at] (0:0:1 - 1)
		IfNotBlocked
		reached[0][74] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = ((int)now.packet[0].at);
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 75 - admission.pml:218 - [(foreign[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][75] = 1;
		if (!(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 24: // STATE 76 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][76] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 77, 1310) */
		reached[0][77] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 78, 1310) */
		reached[0][78] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 79, 1310) */
		reached[0][79] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 80, 1310) */
		reached[0][80] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 81, 1310) */
		reached[0][81] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 82, 1310) */
		reached[0][82] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 83, 1310) */
		reached[0][83] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 25: // STATE 452 - admission.pml:244 - [.(goto)] (0:1310:1 - 57)
		IfNotBlocked
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 26: // STATE 85 - admission.pml:224 - [(known[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][85] = 1;
		if (!(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 27: // STATE 86 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][86] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 87, 1310) */
		reached[0][87] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 88, 1310) */
		reached[0][88] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 89, 1310) */
		reached[0][89] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 90, 1310) */
		reached[0][90] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 91, 1310) */
		reached[0][91] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 92, 1310) */
		reached[0][92] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 93, 1310) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 28: // STATE 95 - admission.pml:225 - [((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[0].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][95] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7))&&((int)now.packet[0].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 29: // STATE 96 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][96] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 30: // STATE 97 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][97] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 98, 1310) */
		reached[0][98] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 99, 1310) */
		reached[0][99] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 100, 1310) */
		reached[0][100] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 101, 1310) */
		reached[0][101] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 102, 1310) */
		reached[0][102] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 103, 1310) */
		reached[0][103] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 104, 1310) */
		reached[0][104] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 121, 1310) */
		reached[0][121] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 31: // STATE 106 - admission.pml:145 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][106] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 32: // STATE 107 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][107] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 108, 1310) */
		reached[0][108] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 109, 1310) */
		reached[0][109] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 110, 1310) */
		reached[0][110] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 111, 1310) */
		reached[0][111] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 112, 1310) */
		reached[0][112] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 113, 1310) */
		reached[0][113] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 114, 1310) */
		reached[0][114] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 121, 1310) */
		reached[0][121] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 33: // STATE 117 - admission.pml:147 - [packet[0].hops = (packet[0].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][117] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: packet[0].at = note[i](1310, 118, 1310) */
		reached[0][118] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 119, 1310) */
		reached[0][119] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 121, 1310) */
		reached[0][121] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 34: // STATE 123 - admission.pml:226 - [((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[0].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][123] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==7))&&((int)now.packet[0].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 35: // STATE 124 - admission.pml:159 - [((packet[0].returning&&(packet[0].claimant==i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][124] = 1;
		if (!((((int)now.packet[0].returning)&&(((int)now.packet[0].claimant)==((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 36: // STATE 125 - admission.pml:164 - [(claiming[i])] (0:0:0 - 1)
		IfNotBlocked
		reached[0][125] = 1;
		if (!(((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		_m = 3; goto P999; /* 0 */
	case 37: // STATE 126 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:140:4 - 1)
		IfNotBlocked
		reached[0][126] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(140, 127, 140) */
		reached[0][127] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(140, 128, 140) */
		reached[0][128] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(140, 129, 140) */
		reached[0][129] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(140, 130, 140) */
		reached[0][130] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(140, 131, 140) */
		reached[0][131] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 38: // STATE 132 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][132] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 133, 1310) */
		reached[0][133] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 134, 1310) */
		reached[0][134] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 135, 1310) */
		reached[0][135] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 136, 1310) */
		reached[0][136] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 137, 1310) */
		reached[0][137] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 138, 1310) */
		reached[0][138] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 139, 1310) */
		reached[0][139] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 153, 1310) */
		reached[0][153] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 39: // STATE 143 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][143] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 144, 1310) */
		reached[0][144] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 145, 1310) */
		reached[0][145] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 146, 1310) */
		reached[0][146] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 147, 1310) */
		reached[0][147] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 148, 1310) */
		reached[0][148] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 149, 1310) */
		reached[0][149] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 150, 1310) */
		reached[0][150] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 153, 1310) */
		reached[0][153] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 40: // STATE 155 - admission.pml:170 - [(((packet[0].claimant!=7)&&(packet[0].claimant!=i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][155] = 1;
		if (!(((((int)now.packet[0].claimant)!=7)&&(((int)now.packet[0].claimant)!=((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 41: // STATE 156 - admission.pml:174 - [((claiming[i]&&(i<packet[0].claimant)))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][156] = 1;
		if (!((((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)((P0 *)_this)->i)<((int)now.packet[0].claimant)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 42: // STATE 157 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][157] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 158, 1310) */
		reached[0][158] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 159, 1310) */
		reached[0][159] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 160, 1310) */
		reached[0][160] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 161, 1310) */
		reached[0][161] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 162, 1310) */
		reached[0][162] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 163, 1310) */
		reached[0][163] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 164, 1310) */
		reached[0][164] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 206, 1310) */
		reached[0][206] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 43: // STATE 167 - admission.pml:177 - [claiming[i] = 0] (0:204:2 - 1)
		IfNotBlocked
		reached[0][167] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: note[i] = packet[0].claimant(204, 168, 204) */
		reached[0][168] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ((int)now.packet[0].claimant);
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 44: // STATE 169 - admission.pml:124 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][169] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 45: // STATE 170 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][170] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 171, 1310) */
		reached[0][171] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 172, 1310) */
		reached[0][172] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 173, 1310) */
		reached[0][173] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 174, 1310) */
		reached[0][174] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 175, 1310) */
		reached[0][175] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 176, 1310) */
		reached[0][176] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 177, 1310) */
		reached[0][177] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 203, 1310) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(1310, 206, 1310) */
		reached[0][206] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 46: // STATE 180 - admission.pml:126 - [packet[0].hops = (packet[0].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][180] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 181 - admission.pml:128 - [(((packet[0].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][181] = 1;
		if (!(((((int)now.packet[0].position)+1)<2)))
			continue;
		/* merge: packet[0].position = (packet[0].position+1)(1310, 182, 1310) */
		reached[0][182] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].position);
		now.packet[0].position = (((int)now.packet[0].position)+1);
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )(1310, 183, 1310) */
		reached[0][183] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ( ((((int)now.packet[0].view)==0)) ? (( ((((int)now.packet[0].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[0].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: .(goto)(1310, 201, 1310) */
		reached[0][201] = 1;
		;
		/* merge: .(goto)(1310, 203, 1310) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(1310, 206, 1310) */
		reached[0][206] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 48: // STATE 185 - admission.pml:133 - [((packet[0].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][185] = 1;
		if (!((((int)now.packet[0].claimant)!=7)))
			continue;
		/* merge: packet[0].at = packet[0].claimant(1310, 186, 1310) */
		reached[0][186] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.packet[0].claimant);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 1(1310, 187, 1310) */
		reached[0][187] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].returning);
		now.packet[0].returning = 1;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 199, 1310) */
		reached[0][199] = 1;
		;
		/* merge: .(goto)(1310, 201, 1310) */
		reached[0][201] = 1;
		;
		/* merge: .(goto)(1310, 203, 1310) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(1310, 206, 1310) */
		reached[0][206] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 49: // STATE 189 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][189] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 190, 1310) */
		reached[0][190] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 191, 1310) */
		reached[0][191] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 192, 1310) */
		reached[0][192] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 193, 1310) */
		reached[0][193] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 194, 1310) */
		reached[0][194] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 195, 1310) */
		reached[0][195] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 196, 1310) */
		reached[0][196] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 199, 1310) */
		reached[0][199] = 1;
		;
		/* merge: .(goto)(1310, 201, 1310) */
		reached[0][201] = 1;
		;
		/* merge: .(goto)(1310, 203, 1310) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(1310, 206, 1310) */
		reached[0][206] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 16 */
	case 50: // STATE 207 - admission.pml:183 - [((packet[0].claimant==i))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][207] = 1;
		if (!((((int)now.packet[0].claimant)==((int)((P0 *)_this)->i))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 51: // STATE 208 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][208] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 209, 1310) */
		reached[0][209] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 210, 1310) */
		reached[0][210] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 211, 1310) */
		reached[0][211] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 212, 1310) */
		reached[0][212] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 213, 1310) */
		reached[0][213] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 214, 1310) */
		reached[0][214] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 215, 1310) */
		reached[0][215] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 52: // STATE 218 - admission.pml:186 - [(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[0].view))&&!(1))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][218] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&&((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[0].view)))&& !(1)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 53: // STATE 219 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:233:4 - 1)
		IfNotBlocked
		reached[0][219] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(233, 220, 233) */
		reached[0][220] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(233, 221, 233) */
		reached[0][221] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(233, 222, 233) */
		reached[0][222] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(233, 223, 233) */
		reached[0][223] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(233, 224, 233) */
		reached[0][224] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 54: // STATE 225 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][225] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 226, 1310) */
		reached[0][226] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 227, 1310) */
		reached[0][227] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 228, 1310) */
		reached[0][228] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 229, 1310) */
		reached[0][229] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 230, 1310) */
		reached[0][230] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 231, 1310) */
		reached[0][231] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 232, 1310) */
		reached[0][232] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 55: // STATE 235 - admission.pml:187 - [(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[0].view))&&!(1)))))] (292:0:2 - 1)
		IfNotBlocked
		reached[0][235] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[0].view)))&& !(1))))))
			continue;
		/* merge: claiming[i] = 1(292, 236, 292) */
		reached[0][236] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: packet[0].claimant = i(292, 237, 292) */
		reached[0][237] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 56: // STATE 238 - admission.pml:196 - [((((packet[0].position+1)>=2)&&(packet[0].position==0)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][238] = 1;
		if (!((((((int)now.packet[0].position)+1)>=2)&&(((int)now.packet[0].position)==0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 57: // STATE 239 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:253:4 - 1)
		IfNotBlocked
		reached[0][239] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(253, 240, 253) */
		reached[0][240] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(253, 241, 253) */
		reached[0][241] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(253, 242, 253) */
		reached[0][242] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(253, 243, 253) */
		reached[0][243] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(253, 244, 253) */
		reached[0][244] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 58: // STATE 245 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][245] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 246, 1310) */
		reached[0][246] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 247, 1310) */
		reached[0][247] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 248, 1310) */
		reached[0][248] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 249, 1310) */
		reached[0][249] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 250, 1310) */
		reached[0][250] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 251, 1310) */
		reached[0][251] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 252, 1310) */
		reached[0][252] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 293, 1310) */
		reached[0][293] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 59: // STATE 256 - admission.pml:124 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][256] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 60: // STATE 257 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][257] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 258, 1310) */
		reached[0][258] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 259, 1310) */
		reached[0][259] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 260, 1310) */
		reached[0][260] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 261, 1310) */
		reached[0][261] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 262, 1310) */
		reached[0][262] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 263, 1310) */
		reached[0][263] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 264, 1310) */
		reached[0][264] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 290, 1310) */
		reached[0][290] = 1;
		;
		/* merge: .(goto)(1310, 293, 1310) */
		reached[0][293] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 15 */
	case 61: // STATE 267 - admission.pml:126 - [packet[0].hops = (packet[0].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][267] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 62: // STATE 268 - admission.pml:128 - [(((packet[0].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][268] = 1;
		if (!(((((int)now.packet[0].position)+1)<2)))
			continue;
		/* merge: packet[0].position = (packet[0].position+1)(1310, 269, 1310) */
		reached[0][269] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].position);
		now.packet[0].position = (((int)now.packet[0].position)+1);
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )(1310, 270, 1310) */
		reached[0][270] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ( ((((int)now.packet[0].view)==0)) ? (( ((((int)now.packet[0].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[0].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: .(goto)(1310, 288, 1310) */
		reached[0][288] = 1;
		;
		/* merge: .(goto)(1310, 290, 1310) */
		reached[0][290] = 1;
		;
		/* merge: .(goto)(1310, 293, 1310) */
		reached[0][293] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 63: // STATE 272 - admission.pml:133 - [((packet[0].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][272] = 1;
		if (!((((int)now.packet[0].claimant)!=7)))
			continue;
		/* merge: packet[0].at = packet[0].claimant(1310, 273, 1310) */
		reached[0][273] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.packet[0].claimant);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 1(1310, 274, 1310) */
		reached[0][274] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].returning);
		now.packet[0].returning = 1;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 286, 1310) */
		reached[0][286] = 1;
		;
		/* merge: .(goto)(1310, 288, 1310) */
		reached[0][288] = 1;
		;
		/* merge: .(goto)(1310, 290, 1310) */
		reached[0][290] = 1;
		;
		/* merge: .(goto)(1310, 293, 1310) */
		reached[0][293] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 64: // STATE 276 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][276] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 277, 1310) */
		reached[0][277] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 278, 1310) */
		reached[0][278] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 279, 1310) */
		reached[0][279] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 280, 1310) */
		reached[0][280] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 281, 1310) */
		reached[0][281] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 282, 1310) */
		reached[0][282] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 283, 1310) */
		reached[0][283] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 286, 1310) */
		reached[0][286] = 1;
		;
		/* merge: .(goto)(1310, 288, 1310) */
		reached[0][288] = 1;
		;
		/* merge: .(goto)(1310, 290, 1310) */
		reached[0][290] = 1;
		;
		/* merge: .(goto)(1310, 293, 1310) */
		reached[0][293] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 17 */
	case 65: // STATE 295 - admission.pml:202 - [((((packet[0].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[0].view))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][295] = 1;
		if (!((((((int)now.packet[0].position)+1)>=2)&&(((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[0].view))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 66: // STATE 296 - admission.pml:113 - [assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))] (0:307:2 - 1)
		IfNotBlocked
		reached[0][296] = 1;
		spin_assert( !((1&&(((int)now.establishedOnce)||((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2]))))), " !((1&&(establishedOnce||((known[0]||known[1])||known[2]))))", II, tt, t);
		/* merge: refusalSent = 1(307, 297, 307) */
		reached[0][297] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.refusalSent);
		now.refusalSent = 1;
#ifdef VAR_RANGES
		logval("refusalSent", ((int)now.refusalSent));
#endif
		;
		/* merge: note[i] = 6(307, 298, 307) */
		reached[0][298] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 6;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 67: // STATE 299 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][299] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 300, 1310) */
		reached[0][300] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 301, 1310) */
		reached[0][301] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 302, 1310) */
		reached[0][302] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 303, 1310) */
		reached[0][303] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 304, 1310) */
		reached[0][304] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 305, 1310) */
		reached[0][305] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 306, 1310) */
		reached[0][306] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 68: // STATE 309 - admission.pml:203 - [((((packet[0].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[0].view)))))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][309] = 1;
		if (!((((((int)now.packet[0].position)+1)>=2)&& !((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[0].view)))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 69: // STATE 310 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][310] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 311, 1310) */
		reached[0][311] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 312, 1310) */
		reached[0][312] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 313, 1310) */
		reached[0][313] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 314, 1310) */
		reached[0][314] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 315, 1310) */
		reached[0][315] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 316, 1310) */
		reached[0][316] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 317, 1310) */
		reached[0][317] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 70: // STATE 320 - admission.pml:206 - [note[i] = ( ((packet[0].view==0)) -> (( (((packet[0].position+1)==0)) -> (0) : (1) )) : (( (((packet[0].position+1)==0)) -> (1) : (0) )) )] (0:0:1 - 1)
		IfNotBlocked
		reached[0][320] = 1;
		(trpt+1)->bup.oval = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ( ((((int)now.packet[0].view)==0)) ? (( (((((int)now.packet[0].position)+1)==0)) ? (0) : (1) )) : (( (((((int)now.packet[0].position)+1)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 71: // STATE 321 - admission.pml:124 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][321] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 72: // STATE 322 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][322] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 323, 1310) */
		reached[0][323] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 324, 1310) */
		reached[0][324] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 325, 1310) */
		reached[0][325] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 326, 1310) */
		reached[0][326] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 327, 1310) */
		reached[0][327] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 328, 1310) */
		reached[0][328] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 329, 1310) */
		reached[0][329] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 355, 1310) */
		reached[0][355] = 1;
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 15 */
	case 73: // STATE 332 - admission.pml:126 - [packet[0].hops = (packet[0].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][332] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 74: // STATE 333 - admission.pml:128 - [(((packet[0].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][333] = 1;
		if (!(((((int)now.packet[0].position)+1)<2)))
			continue;
		/* merge: packet[0].position = (packet[0].position+1)(1310, 334, 1310) */
		reached[0][334] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].position);
		now.packet[0].position = (((int)now.packet[0].position)+1);
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )(1310, 335, 1310) */
		reached[0][335] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ( ((((int)now.packet[0].view)==0)) ? (( ((((int)now.packet[0].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[0].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: .(goto)(1310, 353, 1310) */
		reached[0][353] = 1;
		;
		/* merge: .(goto)(1310, 355, 1310) */
		reached[0][355] = 1;
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 75: // STATE 337 - admission.pml:133 - [((packet[0].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][337] = 1;
		if (!((((int)now.packet[0].claimant)!=7)))
			continue;
		/* merge: packet[0].at = packet[0].claimant(1310, 338, 1310) */
		reached[0][338] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.packet[0].claimant);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 1(1310, 339, 1310) */
		reached[0][339] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].returning);
		now.packet[0].returning = 1;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 351, 1310) */
		reached[0][351] = 1;
		;
		/* merge: .(goto)(1310, 353, 1310) */
		reached[0][353] = 1;
		;
		/* merge: .(goto)(1310, 355, 1310) */
		reached[0][355] = 1;
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 76: // STATE 341 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][341] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 342, 1310) */
		reached[0][342] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 343, 1310) */
		reached[0][343] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 344, 1310) */
		reached[0][344] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 345, 1310) */
		reached[0][345] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 346, 1310) */
		reached[0][346] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 347, 1310) */
		reached[0][347] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 348, 1310) */
		reached[0][348] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 351, 1310) */
		reached[0][351] = 1;
		;
		/* merge: .(goto)(1310, 353, 1310) */
		reached[0][353] = 1;
		;
		/* merge: .(goto)(1310, 355, 1310) */
		reached[0][355] = 1;
		;
		/* merge: .(goto)(1310, 358, 1310) */
		reached[0][358] = 1;
		;
		/* merge: .(goto)(1310, 360, 1310) */
		reached[0][360] = 1;
		;
		/* merge: .(goto)(1310, 362, 1310) */
		reached[0][362] = 1;
		;
		/* merge: .(goto)(1310, 364, 1310) */
		reached[0][364] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 17 */
	case 77: // STATE 366 - admission.pml:227 - [(((!(foreign[i])&&!(known[i]))&&!(packet[0].first)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][366] = 1;
		if (!((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((int)now.packet[0].first)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 78: // STATE 367 - admission.pml:229 - [((((note[i]!=7)&&(note[i]!=6))&&(packet[0].hops<8)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][367] = 1;
		if (!((((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7)&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=6))&&(((int)now.packet[0].hops)<8))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 79: // STATE 368 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][368] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 80: // STATE 369 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][369] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 370, 1310) */
		reached[0][370] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 371, 1310) */
		reached[0][371] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 372, 1310) */
		reached[0][372] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 373, 1310) */
		reached[0][373] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 374, 1310) */
		reached[0][374] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 375, 1310) */
		reached[0][375] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 376, 1310) */
		reached[0][376] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 393, 1310) */
		reached[0][393] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 81: // STATE 378 - admission.pml:145 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][378] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 82: // STATE 379 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][379] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 380, 1310) */
		reached[0][380] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 381, 1310) */
		reached[0][381] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 382, 1310) */
		reached[0][382] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 383, 1310) */
		reached[0][383] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 384, 1310) */
		reached[0][384] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 385, 1310) */
		reached[0][385] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 386, 1310) */
		reached[0][386] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 393, 1310) */
		reached[0][393] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 83: // STATE 389 - admission.pml:147 - [packet[0].hops = (packet[0].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][389] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: packet[0].at = note[i](1310, 390, 1310) */
		reached[0][390] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 391, 1310) */
		reached[0][391] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 393, 1310) */
		reached[0][393] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 84: // STATE 396 - admission.pml:232 - [(!(((packet[0].position+1)>=2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][396] = 1;
		if (!( !(((((int)now.packet[0].position)+1)>=2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 85: // STATE 397 - admission.pml:124 - [((packet[0].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][397] = 1;
		if (!((((int)now.packet[0].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 86: // STATE 398 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][398] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 399, 1310) */
		reached[0][399] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 400, 1310) */
		reached[0][400] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 401, 1310) */
		reached[0][401] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 402, 1310) */
		reached[0][402] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 403, 1310) */
		reached[0][403] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 404, 1310) */
		reached[0][404] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 405, 1310) */
		reached[0][405] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 431, 1310) */
		reached[0][431] = 1;
		;
		/* merge: .(goto)(1310, 448, 1310) */
		reached[0][448] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 87: // STATE 408 - admission.pml:126 - [packet[0].hops = (packet[0].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][408] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[0].hops);
		now.packet[0].hops = (((int)now.packet[0].hops)+1);
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 88: // STATE 409 - admission.pml:128 - [(((packet[0].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][409] = 1;
		if (!(((((int)now.packet[0].position)+1)<2)))
			continue;
		/* merge: packet[0].position = (packet[0].position+1)(1310, 410, 1310) */
		reached[0][410] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].position);
		now.packet[0].position = (((int)now.packet[0].position)+1);
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].at = ( ((packet[0].view==0)) -> (( ((packet[0].position==0)) -> (0) : (1) )) : (( ((packet[0].position==0)) -> (1) : (0) )) )(1310, 411, 1310) */
		reached[0][411] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].at);
		now.packet[0].at = ( ((((int)now.packet[0].view)==0)) ? (( ((((int)now.packet[0].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[0].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: .(goto)(1310, 429, 1310) */
		reached[0][429] = 1;
		;
		/* merge: .(goto)(1310, 431, 1310) */
		reached[0][431] = 1;
		;
		/* merge: .(goto)(1310, 448, 1310) */
		reached[0][448] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 89: // STATE 413 - admission.pml:133 - [((packet[0].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][413] = 1;
		if (!((((int)now.packet[0].claimant)!=7)))
			continue;
		/* merge: packet[0].at = packet[0].claimant(1310, 414, 1310) */
		reached[0][414] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].at);
		now.packet[0].at = ((int)now.packet[0].claimant);
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].returning = 1(1310, 415, 1310) */
		reached[0][415] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].returning);
		now.packet[0].returning = 1;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: .(goto)(1310, 427, 1310) */
		reached[0][427] = 1;
		;
		/* merge: .(goto)(1310, 429, 1310) */
		reached[0][429] = 1;
		;
		/* merge: .(goto)(1310, 431, 1310) */
		reached[0][431] = 1;
		;
		/* merge: .(goto)(1310, 448, 1310) */
		reached[0][448] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 90: // STATE 417 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][417] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 418, 1310) */
		reached[0][418] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 419, 1310) */
		reached[0][419] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 420, 1310) */
		reached[0][420] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 421, 1310) */
		reached[0][421] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 422, 1310) */
		reached[0][422] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 423, 1310) */
		reached[0][423] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 424, 1310) */
		reached[0][424] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 427, 1310) */
		reached[0][427] = 1;
		;
		/* merge: .(goto)(1310, 429, 1310) */
		reached[0][429] = 1;
		;
		/* merge: .(goto)(1310, 431, 1310) */
		reached[0][431] = 1;
		;
		/* merge: .(goto)(1310, 448, 1310) */
		reached[0][448] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 15 */
	case 91: // STATE 434 - admission.pml:235 - [(1)] (444:0:0 - 1)
		IfNotBlocked
		reached[0][434] = 1;
		if (!(1))
			continue;
		/* merge: assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))(0, 435, 444) */
		reached[0][435] = 1;
		spin_assert( !((((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2])))), " !((((( !(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2])))", II, tt, t);
		_m = 3; goto P999; /* 1 */
	case 92: // STATE 436 - admission.pml:94 - [packet[0].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][436] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 437, 1310) */
		reached[0][437] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 438, 1310) */
		reached[0][438] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 439, 1310) */
		reached[0][439] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 440, 1310) */
		reached[0][440] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 441, 1310) */
		reached[0][441] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 442, 1310) */
		reached[0][442] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 443, 1310) */
		reached[0][443] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(1310, 446, 1310) */
		reached[0][446] = 1;
		;
		/* merge: .(goto)(1310, 448, 1310) */
		reached[0][448] = 1;
		;
		/* merge: .(goto)(1310, 450, 1310) */
		reached[0][450] = 1;
		;
		/* merge: .(goto)(1310, 452, 1310) */
		reached[0][452] = 1;
		;
		/* merge: i = 0(1310, 453, 1310) */
		reached[0][453] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 93: // STATE 456 - admission.pml:308 - [(packet[1].used)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][456] = 1;
		if (!(((int)now.packet[1].used)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 94: // STATE 457 - admission.pml:216 - [i = packet[1].at] (0:0:1 - 1)
		IfNotBlocked
		reached[0][457] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = ((int)now.packet[1].at);
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 95: // STATE 458 - admission.pml:218 - [(foreign[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][458] = 1;
		if (!(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 96: // STATE 459 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][459] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 460, 1310) */
		reached[0][460] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 461, 1310) */
		reached[0][461] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 462, 1310) */
		reached[0][462] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 463, 1310) */
		reached[0][463] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 464, 1310) */
		reached[0][464] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 465, 1310) */
		reached[0][465] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 466, 1310) */
		reached[0][466] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 97: // STATE 835 - admission.pml:244 - [.(goto)] (0:1310:1 - 57)
		IfNotBlocked
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 98: // STATE 468 - admission.pml:224 - [(known[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][468] = 1;
		if (!(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 99: // STATE 469 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][469] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 470, 1310) */
		reached[0][470] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 471, 1310) */
		reached[0][471] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 472, 1310) */
		reached[0][472] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 473, 1310) */
		reached[0][473] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 474, 1310) */
		reached[0][474] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 475, 1310) */
		reached[0][475] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 476, 1310) */
		reached[0][476] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 100: // STATE 478 - admission.pml:225 - [((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[1].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][478] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7))&&((int)now.packet[1].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 101: // STATE 479 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][479] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 102: // STATE 480 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][480] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 481, 1310) */
		reached[0][481] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 482, 1310) */
		reached[0][482] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 483, 1310) */
		reached[0][483] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 484, 1310) */
		reached[0][484] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 485, 1310) */
		reached[0][485] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 486, 1310) */
		reached[0][486] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 487, 1310) */
		reached[0][487] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 504, 1310) */
		reached[0][504] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 103: // STATE 489 - admission.pml:145 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][489] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 104: // STATE 490 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][490] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 491, 1310) */
		reached[0][491] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 492, 1310) */
		reached[0][492] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 493, 1310) */
		reached[0][493] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 494, 1310) */
		reached[0][494] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 495, 1310) */
		reached[0][495] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 496, 1310) */
		reached[0][496] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 497, 1310) */
		reached[0][497] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 504, 1310) */
		reached[0][504] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 105: // STATE 500 - admission.pml:147 - [packet[1].hops = (packet[1].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][500] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: packet[1].at = note[i](1310, 501, 1310) */
		reached[0][501] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 502, 1310) */
		reached[0][502] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 504, 1310) */
		reached[0][504] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 106: // STATE 506 - admission.pml:226 - [((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[1].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][506] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==7))&&((int)now.packet[1].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 107: // STATE 507 - admission.pml:159 - [((packet[1].returning&&(packet[1].claimant==i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][507] = 1;
		if (!((((int)now.packet[1].returning)&&(((int)now.packet[1].claimant)==((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 108: // STATE 508 - admission.pml:164 - [(claiming[i])] (0:0:0 - 1)
		IfNotBlocked
		reached[0][508] = 1;
		if (!(((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		_m = 3; goto P999; /* 0 */
	case 109: // STATE 509 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:523:4 - 1)
		IfNotBlocked
		reached[0][509] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(523, 510, 523) */
		reached[0][510] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(523, 511, 523) */
		reached[0][511] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(523, 512, 523) */
		reached[0][512] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(523, 513, 523) */
		reached[0][513] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(523, 514, 523) */
		reached[0][514] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 110: // STATE 515 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][515] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 516, 1310) */
		reached[0][516] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 517, 1310) */
		reached[0][517] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 518, 1310) */
		reached[0][518] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 519, 1310) */
		reached[0][519] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 520, 1310) */
		reached[0][520] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 521, 1310) */
		reached[0][521] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 522, 1310) */
		reached[0][522] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 536, 1310) */
		reached[0][536] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 111: // STATE 526 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][526] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 527, 1310) */
		reached[0][527] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 528, 1310) */
		reached[0][528] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 529, 1310) */
		reached[0][529] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 530, 1310) */
		reached[0][530] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 531, 1310) */
		reached[0][531] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 532, 1310) */
		reached[0][532] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 533, 1310) */
		reached[0][533] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 536, 1310) */
		reached[0][536] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 112: // STATE 538 - admission.pml:170 - [(((packet[1].claimant!=7)&&(packet[1].claimant!=i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][538] = 1;
		if (!(((((int)now.packet[1].claimant)!=7)&&(((int)now.packet[1].claimant)!=((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 113: // STATE 539 - admission.pml:174 - [((claiming[i]&&(i<packet[1].claimant)))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][539] = 1;
		if (!((((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)((P0 *)_this)->i)<((int)now.packet[1].claimant)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 114: // STATE 540 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][540] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 541, 1310) */
		reached[0][541] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 542, 1310) */
		reached[0][542] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 543, 1310) */
		reached[0][543] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 544, 1310) */
		reached[0][544] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 545, 1310) */
		reached[0][545] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 546, 1310) */
		reached[0][546] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 547, 1310) */
		reached[0][547] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 589, 1310) */
		reached[0][589] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 115: // STATE 550 - admission.pml:177 - [claiming[i] = 0] (0:587:2 - 1)
		IfNotBlocked
		reached[0][550] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: note[i] = packet[1].claimant(587, 551, 587) */
		reached[0][551] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ((int)now.packet[1].claimant);
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 116: // STATE 552 - admission.pml:124 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][552] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 117: // STATE 553 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][553] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 554, 1310) */
		reached[0][554] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 555, 1310) */
		reached[0][555] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 556, 1310) */
		reached[0][556] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 557, 1310) */
		reached[0][557] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 558, 1310) */
		reached[0][558] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 559, 1310) */
		reached[0][559] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 560, 1310) */
		reached[0][560] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 586, 1310) */
		reached[0][586] = 1;
		;
		/* merge: .(goto)(1310, 589, 1310) */
		reached[0][589] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 118: // STATE 563 - admission.pml:126 - [packet[1].hops = (packet[1].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][563] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 119: // STATE 564 - admission.pml:128 - [(((packet[1].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][564] = 1;
		if (!(((((int)now.packet[1].position)+1)<2)))
			continue;
		/* merge: packet[1].position = (packet[1].position+1)(1310, 565, 1310) */
		reached[0][565] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].position);
		now.packet[1].position = (((int)now.packet[1].position)+1);
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )(1310, 566, 1310) */
		reached[0][566] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ( ((((int)now.packet[1].view)==0)) ? (( ((((int)now.packet[1].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[1].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: .(goto)(1310, 584, 1310) */
		reached[0][584] = 1;
		;
		/* merge: .(goto)(1310, 586, 1310) */
		reached[0][586] = 1;
		;
		/* merge: .(goto)(1310, 589, 1310) */
		reached[0][589] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 10 */
	case 120: // STATE 568 - admission.pml:133 - [((packet[1].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][568] = 1;
		if (!((((int)now.packet[1].claimant)!=7)))
			continue;
		/* merge: packet[1].at = packet[1].claimant(1310, 569, 1310) */
		reached[0][569] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.packet[1].claimant);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 1(1310, 570, 1310) */
		reached[0][570] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].returning);
		now.packet[1].returning = 1;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 582, 1310) */
		reached[0][582] = 1;
		;
		/* merge: .(goto)(1310, 584, 1310) */
		reached[0][584] = 1;
		;
		/* merge: .(goto)(1310, 586, 1310) */
		reached[0][586] = 1;
		;
		/* merge: .(goto)(1310, 589, 1310) */
		reached[0][589] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 121: // STATE 572 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][572] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 573, 1310) */
		reached[0][573] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 574, 1310) */
		reached[0][574] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 575, 1310) */
		reached[0][575] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 576, 1310) */
		reached[0][576] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 577, 1310) */
		reached[0][577] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 578, 1310) */
		reached[0][578] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 579, 1310) */
		reached[0][579] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 582, 1310) */
		reached[0][582] = 1;
		;
		/* merge: .(goto)(1310, 584, 1310) */
		reached[0][584] = 1;
		;
		/* merge: .(goto)(1310, 586, 1310) */
		reached[0][586] = 1;
		;
		/* merge: .(goto)(1310, 589, 1310) */
		reached[0][589] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 16 */
	case 122: // STATE 590 - admission.pml:183 - [((packet[1].claimant==i))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][590] = 1;
		if (!((((int)now.packet[1].claimant)==((int)((P0 *)_this)->i))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 123: // STATE 591 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][591] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 592, 1310) */
		reached[0][592] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 593, 1310) */
		reached[0][593] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 594, 1310) */
		reached[0][594] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 595, 1310) */
		reached[0][595] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 596, 1310) */
		reached[0][596] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 597, 1310) */
		reached[0][597] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 598, 1310) */
		reached[0][598] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 124: // STATE 601 - admission.pml:186 - [(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[1].view))&&!(1))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][601] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&&((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[1].view)))&& !(1)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 125: // STATE 602 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:616:4 - 1)
		IfNotBlocked
		reached[0][602] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(616, 603, 616) */
		reached[0][603] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(616, 604, 616) */
		reached[0][604] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(616, 605, 616) */
		reached[0][605] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(616, 606, 616) */
		reached[0][606] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(616, 607, 616) */
		reached[0][607] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 126: // STATE 608 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][608] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 609, 1310) */
		reached[0][609] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 610, 1310) */
		reached[0][610] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 611, 1310) */
		reached[0][611] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 612, 1310) */
		reached[0][612] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 613, 1310) */
		reached[0][613] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 614, 1310) */
		reached[0][614] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 615, 1310) */
		reached[0][615] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 13 */
	case 127: // STATE 618 - admission.pml:187 - [(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[1].view))&&!(1)))))] (675:0:2 - 1)
		IfNotBlocked
		reached[0][618] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[1].view)))&& !(1))))))
			continue;
		/* merge: claiming[i] = 1(675, 619, 675) */
		reached[0][619] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: packet[1].claimant = i(675, 620, 675) */
		reached[0][620] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 128: // STATE 621 - admission.pml:196 - [((((packet[1].position+1)>=2)&&(packet[1].position==0)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][621] = 1;
		if (!((((((int)now.packet[1].position)+1)>=2)&&(((int)now.packet[1].position)==0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 129: // STATE 622 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:636:4 - 1)
		IfNotBlocked
		reached[0][622] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(636, 623, 636) */
		reached[0][623] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(636, 624, 636) */
		reached[0][624] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(636, 625, 636) */
		reached[0][625] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(636, 626, 636) */
		reached[0][626] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(636, 627, 636) */
		reached[0][627] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 130: // STATE 628 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][628] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 629, 1310) */
		reached[0][629] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 630, 1310) */
		reached[0][630] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 631, 1310) */
		reached[0][631] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 632, 1310) */
		reached[0][632] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 633, 1310) */
		reached[0][633] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 634, 1310) */
		reached[0][634] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 635, 1310) */
		reached[0][635] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 676, 1310) */
		reached[0][676] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 131: // STATE 639 - admission.pml:124 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][639] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 132: // STATE 640 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][640] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 641, 1310) */
		reached[0][641] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 642, 1310) */
		reached[0][642] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 643, 1310) */
		reached[0][643] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 644, 1310) */
		reached[0][644] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 645, 1310) */
		reached[0][645] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 646, 1310) */
		reached[0][646] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 647, 1310) */
		reached[0][647] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 673, 1310) */
		reached[0][673] = 1;
		;
		/* merge: .(goto)(1310, 676, 1310) */
		reached[0][676] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 15 */
	case 133: // STATE 650 - admission.pml:126 - [packet[1].hops = (packet[1].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][650] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 134: // STATE 651 - admission.pml:128 - [(((packet[1].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][651] = 1;
		if (!(((((int)now.packet[1].position)+1)<2)))
			continue;
		/* merge: packet[1].position = (packet[1].position+1)(1310, 652, 1310) */
		reached[0][652] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].position);
		now.packet[1].position = (((int)now.packet[1].position)+1);
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )(1310, 653, 1310) */
		reached[0][653] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ( ((((int)now.packet[1].view)==0)) ? (( ((((int)now.packet[1].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[1].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: .(goto)(1310, 671, 1310) */
		reached[0][671] = 1;
		;
		/* merge: .(goto)(1310, 673, 1310) */
		reached[0][673] = 1;
		;
		/* merge: .(goto)(1310, 676, 1310) */
		reached[0][676] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 135: // STATE 655 - admission.pml:133 - [((packet[1].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][655] = 1;
		if (!((((int)now.packet[1].claimant)!=7)))
			continue;
		/* merge: packet[1].at = packet[1].claimant(1310, 656, 1310) */
		reached[0][656] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.packet[1].claimant);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 1(1310, 657, 1310) */
		reached[0][657] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].returning);
		now.packet[1].returning = 1;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 669, 1310) */
		reached[0][669] = 1;
		;
		/* merge: .(goto)(1310, 671, 1310) */
		reached[0][671] = 1;
		;
		/* merge: .(goto)(1310, 673, 1310) */
		reached[0][673] = 1;
		;
		/* merge: .(goto)(1310, 676, 1310) */
		reached[0][676] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 136: // STATE 659 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][659] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 660, 1310) */
		reached[0][660] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 661, 1310) */
		reached[0][661] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 662, 1310) */
		reached[0][662] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 663, 1310) */
		reached[0][663] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 664, 1310) */
		reached[0][664] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 665, 1310) */
		reached[0][665] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 666, 1310) */
		reached[0][666] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 669, 1310) */
		reached[0][669] = 1;
		;
		/* merge: .(goto)(1310, 671, 1310) */
		reached[0][671] = 1;
		;
		/* merge: .(goto)(1310, 673, 1310) */
		reached[0][673] = 1;
		;
		/* merge: .(goto)(1310, 676, 1310) */
		reached[0][676] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 17 */
	case 137: // STATE 678 - admission.pml:202 - [((((packet[1].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[1].view))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][678] = 1;
		if (!((((((int)now.packet[1].position)+1)>=2)&&(((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[1].view))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 138: // STATE 679 - admission.pml:113 - [assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))] (0:690:2 - 1)
		IfNotBlocked
		reached[0][679] = 1;
		spin_assert( !((1&&(((int)now.establishedOnce)||((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2]))))), " !((1&&(establishedOnce||((known[0]||known[1])||known[2]))))", II, tt, t);
		/* merge: refusalSent = 1(690, 680, 690) */
		reached[0][680] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.refusalSent);
		now.refusalSent = 1;
#ifdef VAR_RANGES
		logval("refusalSent", ((int)now.refusalSent));
#endif
		;
		/* merge: note[i] = 6(690, 681, 690) */
		reached[0][681] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 6;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 139: // STATE 682 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][682] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 683, 1310) */
		reached[0][683] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 684, 1310) */
		reached[0][684] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 685, 1310) */
		reached[0][685] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 686, 1310) */
		reached[0][686] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 687, 1310) */
		reached[0][687] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 688, 1310) */
		reached[0][688] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 689, 1310) */
		reached[0][689] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 140: // STATE 692 - admission.pml:203 - [((((packet[1].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[1].view)))))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][692] = 1;
		if (!((((((int)now.packet[1].position)+1)>=2)&& !((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[1].view)))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 141: // STATE 693 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][693] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 694, 1310) */
		reached[0][694] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 695, 1310) */
		reached[0][695] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 696, 1310) */
		reached[0][696] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 697, 1310) */
		reached[0][697] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 698, 1310) */
		reached[0][698] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 699, 1310) */
		reached[0][699] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 700, 1310) */
		reached[0][700] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 14 */
	case 142: // STATE 703 - admission.pml:206 - [note[i] = ( ((packet[1].view==0)) -> (( (((packet[1].position+1)==0)) -> (0) : (1) )) : (( (((packet[1].position+1)==0)) -> (1) : (0) )) )] (0:0:1 - 1)
		IfNotBlocked
		reached[0][703] = 1;
		(trpt+1)->bup.oval = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ( ((((int)now.packet[1].view)==0)) ? (( (((((int)now.packet[1].position)+1)==0)) ? (0) : (1) )) : (( (((((int)now.packet[1].position)+1)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 143: // STATE 704 - admission.pml:124 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][704] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 144: // STATE 705 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][705] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 706, 1310) */
		reached[0][706] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 707, 1310) */
		reached[0][707] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 708, 1310) */
		reached[0][708] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 709, 1310) */
		reached[0][709] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 710, 1310) */
		reached[0][710] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 711, 1310) */
		reached[0][711] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 712, 1310) */
		reached[0][712] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 738, 1310) */
		reached[0][738] = 1;
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 15 */
	case 145: // STATE 715 - admission.pml:126 - [packet[1].hops = (packet[1].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][715] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 146: // STATE 716 - admission.pml:128 - [(((packet[1].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][716] = 1;
		if (!(((((int)now.packet[1].position)+1)<2)))
			continue;
		/* merge: packet[1].position = (packet[1].position+1)(1310, 717, 1310) */
		reached[0][717] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].position);
		now.packet[1].position = (((int)now.packet[1].position)+1);
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )(1310, 718, 1310) */
		reached[0][718] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ( ((((int)now.packet[1].view)==0)) ? (( ((((int)now.packet[1].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[1].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: .(goto)(1310, 736, 1310) */
		reached[0][736] = 1;
		;
		/* merge: .(goto)(1310, 738, 1310) */
		reached[0][738] = 1;
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 147: // STATE 720 - admission.pml:133 - [((packet[1].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][720] = 1;
		if (!((((int)now.packet[1].claimant)!=7)))
			continue;
		/* merge: packet[1].at = packet[1].claimant(1310, 721, 1310) */
		reached[0][721] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.packet[1].claimant);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 1(1310, 722, 1310) */
		reached[0][722] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].returning);
		now.packet[1].returning = 1;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 734, 1310) */
		reached[0][734] = 1;
		;
		/* merge: .(goto)(1310, 736, 1310) */
		reached[0][736] = 1;
		;
		/* merge: .(goto)(1310, 738, 1310) */
		reached[0][738] = 1;
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 148: // STATE 724 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][724] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 725, 1310) */
		reached[0][725] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 726, 1310) */
		reached[0][726] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 727, 1310) */
		reached[0][727] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 728, 1310) */
		reached[0][728] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 729, 1310) */
		reached[0][729] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 730, 1310) */
		reached[0][730] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 731, 1310) */
		reached[0][731] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 734, 1310) */
		reached[0][734] = 1;
		;
		/* merge: .(goto)(1310, 736, 1310) */
		reached[0][736] = 1;
		;
		/* merge: .(goto)(1310, 738, 1310) */
		reached[0][738] = 1;
		;
		/* merge: .(goto)(1310, 741, 1310) */
		reached[0][741] = 1;
		;
		/* merge: .(goto)(1310, 743, 1310) */
		reached[0][743] = 1;
		;
		/* merge: .(goto)(1310, 745, 1310) */
		reached[0][745] = 1;
		;
		/* merge: .(goto)(1310, 747, 1310) */
		reached[0][747] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 17 */
	case 149: // STATE 749 - admission.pml:227 - [(((!(foreign[i])&&!(known[i]))&&!(packet[1].first)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][749] = 1;
		if (!((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((int)now.packet[1].first)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 150: // STATE 750 - admission.pml:229 - [((((note[i]!=7)&&(note[i]!=6))&&(packet[1].hops<8)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][750] = 1;
		if (!((((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7)&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=6))&&(((int)now.packet[1].hops)<8))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 151: // STATE 751 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][751] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 152: // STATE 752 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][752] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 753, 1310) */
		reached[0][753] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 754, 1310) */
		reached[0][754] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 755, 1310) */
		reached[0][755] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 756, 1310) */
		reached[0][756] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 757, 1310) */
		reached[0][757] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 758, 1310) */
		reached[0][758] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 759, 1310) */
		reached[0][759] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 776, 1310) */
		reached[0][776] = 1;
		;
		/* merge: .(goto)(1310, 833, 1310) */
		reached[0][833] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 153: // STATE 761 - admission.pml:145 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][761] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 154: // STATE 762 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][762] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 763, 1310) */
		reached[0][763] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 764, 1310) */
		reached[0][764] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 765, 1310) */
		reached[0][765] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 766, 1310) */
		reached[0][766] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 767, 1310) */
		reached[0][767] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 768, 1310) */
		reached[0][768] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 769, 1310) */
		reached[0][769] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 776, 1310) */
		reached[0][776] = 1;
		;
		/* merge: .(goto)(1310, 833, 1310) */
		reached[0][833] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 155: // STATE 772 - admission.pml:147 - [packet[1].hops = (packet[1].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][772] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: packet[1].at = note[i](1310, 773, 1310) */
		reached[0][773] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 774, 1310) */
		reached[0][774] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 776, 1310) */
		reached[0][776] = 1;
		;
		/* merge: .(goto)(1310, 833, 1310) */
		reached[0][833] = 1;
		;
		/* merge: .(goto)(1310, 835, 1310) */
		reached[0][835] = 1;
		;
		/* merge: i = 0(1310, 836, 1310) */
		reached[0][836] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 156: // STATE 779 - admission.pml:232 - [(!(((packet[1].position+1)>=2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][779] = 1;
		if (!( !(((((int)now.packet[1].position)+1)>=2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 157: // STATE 780 - admission.pml:124 - [((packet[1].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][780] = 1;
		if (!((((int)now.packet[1].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 158: // STATE 781 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][781] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 782, 1310) */
		reached[0][782] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 783, 1310) */
		reached[0][783] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 784, 1310) */
		reached[0][784] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 785, 1310) */
		reached[0][785] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 786, 1310) */
		reached[0][786] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 787, 1310) */
		reached[0][787] = 1;
