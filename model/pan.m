		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 788, 1310) */
		reached[0][788] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 814, 1310) */
		reached[0][814] = 1;
		;
		/* merge: .(goto)(1310, 831, 1310) */
		reached[0][831] = 1;
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
		_m = 3; goto P999; /* 13 */
	case 159: // STATE 791 - admission.pml:126 - [packet[1].hops = (packet[1].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][791] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[1].hops);
		now.packet[1].hops = (((int)now.packet[1].hops)+1);
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 160: // STATE 792 - admission.pml:128 - [(((packet[1].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][792] = 1;
		if (!(((((int)now.packet[1].position)+1)<2)))
			continue;
		/* merge: packet[1].position = (packet[1].position+1)(1310, 793, 1310) */
		reached[0][793] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].position);
		now.packet[1].position = (((int)now.packet[1].position)+1);
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].at = ( ((packet[1].view==0)) -> (( ((packet[1].position==0)) -> (0) : (1) )) : (( ((packet[1].position==0)) -> (1) : (0) )) )(1310, 794, 1310) */
		reached[0][794] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].at);
		now.packet[1].at = ( ((((int)now.packet[1].view)==0)) ? (( ((((int)now.packet[1].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[1].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: .(goto)(1310, 812, 1310) */
		reached[0][812] = 1;
		;
		/* merge: .(goto)(1310, 814, 1310) */
		reached[0][814] = 1;
		;
		/* merge: .(goto)(1310, 831, 1310) */
		reached[0][831] = 1;
		;
		/* merge: .(goto)(1310, 833, 1310) */
		reached[0][833] = 1;
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
		_m = 3; goto P999; /* 9 */
	case 161: // STATE 796 - admission.pml:133 - [((packet[1].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][796] = 1;
		if (!((((int)now.packet[1].claimant)!=7)))
			continue;
		/* merge: packet[1].at = packet[1].claimant(1310, 797, 1310) */
		reached[0][797] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].at);
		now.packet[1].at = ((int)now.packet[1].claimant);
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].returning = 1(1310, 798, 1310) */
		reached[0][798] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].returning);
		now.packet[1].returning = 1;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: .(goto)(1310, 810, 1310) */
		reached[0][810] = 1;
		;
		/* merge: .(goto)(1310, 812, 1310) */
		reached[0][812] = 1;
		;
		/* merge: .(goto)(1310, 814, 1310) */
		reached[0][814] = 1;
		;
		/* merge: .(goto)(1310, 831, 1310) */
		reached[0][831] = 1;
		;
		/* merge: .(goto)(1310, 833, 1310) */
		reached[0][833] = 1;
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
	case 162: // STATE 800 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][800] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 801, 1310) */
		reached[0][801] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 802, 1310) */
		reached[0][802] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 803, 1310) */
		reached[0][803] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 804, 1310) */
		reached[0][804] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 805, 1310) */
		reached[0][805] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 806, 1310) */
		reached[0][806] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 807, 1310) */
		reached[0][807] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 810, 1310) */
		reached[0][810] = 1;
		;
		/* merge: .(goto)(1310, 812, 1310) */
		reached[0][812] = 1;
		;
		/* merge: .(goto)(1310, 814, 1310) */
		reached[0][814] = 1;
		;
		/* merge: .(goto)(1310, 831, 1310) */
		reached[0][831] = 1;
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
		_m = 3; goto P999; /* 15 */
	case 163: // STATE 817 - admission.pml:235 - [(1)] (827:0:0 - 1)
		IfNotBlocked
		reached[0][817] = 1;
		if (!(1))
			continue;
		/* merge: assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))(0, 818, 827) */
		reached[0][818] = 1;
		spin_assert( !((((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2])))), " !((((( !(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2])))", II, tt, t);
		_m = 3; goto P999; /* 1 */
	case 164: // STATE 819 - admission.pml:94 - [packet[1].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][819] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 820, 1310) */
		reached[0][820] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 821, 1310) */
		reached[0][821] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 822, 1310) */
		reached[0][822] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 823, 1310) */
		reached[0][823] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 824, 1310) */
		reached[0][824] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 825, 1310) */
		reached[0][825] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 826, 1310) */
		reached[0][826] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(1310, 829, 1310) */
		reached[0][829] = 1;
		;
		/* merge: .(goto)(1310, 831, 1310) */
		reached[0][831] = 1;
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
		_m = 3; goto P999; /* 13 */
	case 165: // STATE 839 - admission.pml:309 - [(packet[2].used)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][839] = 1;
		if (!(((int)now.packet[2].used)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 166: // STATE 840 - admission.pml:216 - [i = packet[2].at] (0:0:1 - 1)
		IfNotBlocked
		reached[0][840] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = ((int)now.packet[2].at);
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 167: // STATE 841 - admission.pml:218 - [(foreign[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][841] = 1;
		if (!(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 168: // STATE 842 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][842] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 843, 1310) */
		reached[0][843] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 844, 1310) */
		reached[0][844] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 845, 1310) */
		reached[0][845] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 846, 1310) */
		reached[0][846] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 847, 1310) */
		reached[0][847] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 848, 1310) */
		reached[0][848] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 849, 1310) */
		reached[0][849] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 169: // STATE 1218 - admission.pml:244 - [.(goto)] (0:1310:1 - 57)
		IfNotBlocked
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 170: // STATE 851 - admission.pml:224 - [(known[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[0][851] = 1;
		if (!(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 171: // STATE 852 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][852] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 853, 1310) */
		reached[0][853] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 854, 1310) */
		reached[0][854] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 855, 1310) */
		reached[0][855] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 856, 1310) */
		reached[0][856] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 857, 1310) */
		reached[0][857] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 858, 1310) */
		reached[0][858] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 859, 1310) */
		reached[0][859] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 172: // STATE 861 - admission.pml:225 - [((((!(foreign[i])&&!(known[i]))&&(note[i]!=7))&&packet[2].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][861] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7))&&((int)now.packet[2].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 173: // STATE 862 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][862] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 174: // STATE 863 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][863] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 864, 1310) */
		reached[0][864] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 865, 1310) */
		reached[0][865] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 866, 1310) */
		reached[0][866] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 867, 1310) */
		reached[0][867] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 868, 1310) */
		reached[0][868] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 869, 1310) */
		reached[0][869] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 870, 1310) */
		reached[0][870] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 887, 1310) */
		reached[0][887] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 175: // STATE 872 - admission.pml:145 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][872] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 176: // STATE 873 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][873] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 874, 1310) */
		reached[0][874] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 875, 1310) */
		reached[0][875] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 876, 1310) */
		reached[0][876] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 877, 1310) */
		reached[0][877] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 878, 1310) */
		reached[0][878] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 879, 1310) */
		reached[0][879] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 880, 1310) */
		reached[0][880] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 887, 1310) */
		reached[0][887] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 177: // STATE 883 - admission.pml:147 - [packet[2].hops = (packet[2].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][883] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: packet[2].at = note[i](1310, 884, 1310) */
		reached[0][884] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 885, 1310) */
		reached[0][885] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 887, 1310) */
		reached[0][887] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 178: // STATE 889 - admission.pml:226 - [((((!(foreign[i])&&!(known[i]))&&(note[i]==7))&&packet[2].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][889] = 1;
		if (!(((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==7))&&((int)now.packet[2].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 179: // STATE 890 - admission.pml:159 - [((packet[2].returning&&(packet[2].claimant==i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][890] = 1;
		if (!((((int)now.packet[2].returning)&&(((int)now.packet[2].claimant)==((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 180: // STATE 891 - admission.pml:164 - [(claiming[i])] (0:0:0 - 1)
		IfNotBlocked
		reached[0][891] = 1;
		if (!(((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])))
			continue;
		_m = 3; goto P999; /* 0 */
	case 181: // STATE 892 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:906:4 - 1)
		IfNotBlocked
		reached[0][892] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(906, 893, 906) */
		reached[0][893] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(906, 894, 906) */
		reached[0][894] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(906, 895, 906) */
		reached[0][895] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(906, 896, 906) */
		reached[0][896] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(906, 897, 906) */
		reached[0][897] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 182: // STATE 898 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][898] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 899, 1310) */
		reached[0][899] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 900, 1310) */
		reached[0][900] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 901, 1310) */
		reached[0][901] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 902, 1310) */
		reached[0][902] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 903, 1310) */
		reached[0][903] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 904, 1310) */
		reached[0][904] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 905, 1310) */
		reached[0][905] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 919, 1310) */
		reached[0][919] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 183: // STATE 909 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][909] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 910, 1310) */
		reached[0][910] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 911, 1310) */
		reached[0][911] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 912, 1310) */
		reached[0][912] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 913, 1310) */
		reached[0][913] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 914, 1310) */
		reached[0][914] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 915, 1310) */
		reached[0][915] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 916, 1310) */
		reached[0][916] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 919, 1310) */
		reached[0][919] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 184: // STATE 921 - admission.pml:170 - [(((packet[2].claimant!=7)&&(packet[2].claimant!=i)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][921] = 1;
		if (!(((((int)now.packet[2].claimant)!=7)&&(((int)now.packet[2].claimant)!=((int)((P0 *)_this)->i)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 185: // STATE 922 - admission.pml:174 - [((claiming[i]&&(i<packet[2].claimant)))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][922] = 1;
		if (!((((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)((P0 *)_this)->i)<((int)now.packet[2].claimant)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 186: // STATE 923 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][923] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 924, 1310) */
		reached[0][924] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 925, 1310) */
		reached[0][925] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 926, 1310) */
		reached[0][926] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 927, 1310) */
		reached[0][927] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 928, 1310) */
		reached[0][928] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 929, 1310) */
		reached[0][929] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 930, 1310) */
		reached[0][930] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 972, 1310) */
		reached[0][972] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 187: // STATE 933 - admission.pml:177 - [claiming[i] = 0] (0:970:2 - 1)
		IfNotBlocked
		reached[0][933] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: note[i] = packet[2].claimant(970, 934, 970) */
		reached[0][934] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ((int)now.packet[2].claimant);
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 188: // STATE 935 - admission.pml:124 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][935] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 189: // STATE 936 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][936] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 937, 1310) */
		reached[0][937] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 938, 1310) */
		reached[0][938] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 939, 1310) */
		reached[0][939] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 940, 1310) */
		reached[0][940] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 941, 1310) */
		reached[0][941] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 942, 1310) */
		reached[0][942] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 943, 1310) */
		reached[0][943] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 969, 1310) */
		reached[0][969] = 1;
		;
		/* merge: .(goto)(1310, 972, 1310) */
		reached[0][972] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 190: // STATE 946 - admission.pml:126 - [packet[2].hops = (packet[2].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][946] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 191: // STATE 947 - admission.pml:128 - [(((packet[2].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][947] = 1;
		if (!(((((int)now.packet[2].position)+1)<2)))
			continue;
		/* merge: packet[2].position = (packet[2].position+1)(1310, 948, 1310) */
		reached[0][948] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].position);
		now.packet[2].position = (((int)now.packet[2].position)+1);
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )(1310, 949, 1310) */
		reached[0][949] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ( ((((int)now.packet[2].view)==0)) ? (( ((((int)now.packet[2].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[2].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: .(goto)(1310, 967, 1310) */
		reached[0][967] = 1;
		;
		/* merge: .(goto)(1310, 969, 1310) */
		reached[0][969] = 1;
		;
		/* merge: .(goto)(1310, 972, 1310) */
		reached[0][972] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 192: // STATE 951 - admission.pml:133 - [((packet[2].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][951] = 1;
		if (!((((int)now.packet[2].claimant)!=7)))
			continue;
		/* merge: packet[2].at = packet[2].claimant(1310, 952, 1310) */
		reached[0][952] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.packet[2].claimant);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 1(1310, 953, 1310) */
		reached[0][953] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].returning);
		now.packet[2].returning = 1;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 965, 1310) */
		reached[0][965] = 1;
		;
		/* merge: .(goto)(1310, 967, 1310) */
		reached[0][967] = 1;
		;
		/* merge: .(goto)(1310, 969, 1310) */
		reached[0][969] = 1;
		;
		/* merge: .(goto)(1310, 972, 1310) */
		reached[0][972] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 193: // STATE 955 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][955] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 956, 1310) */
		reached[0][956] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 957, 1310) */
		reached[0][957] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 958, 1310) */
		reached[0][958] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 959, 1310) */
		reached[0][959] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 960, 1310) */
		reached[0][960] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 961, 1310) */
		reached[0][961] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 962, 1310) */
		reached[0][962] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 965, 1310) */
		reached[0][965] = 1;
		;
		/* merge: .(goto)(1310, 967, 1310) */
		reached[0][967] = 1;
		;
		/* merge: .(goto)(1310, 969, 1310) */
		reached[0][969] = 1;
		;
		/* merge: .(goto)(1310, 972, 1310) */
		reached[0][972] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 194: // STATE 973 - admission.pml:183 - [((packet[2].claimant==i))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][973] = 1;
		if (!((((int)now.packet[2].claimant)==((int)((P0 *)_this)->i))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 195: // STATE 974 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][974] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 975, 1310) */
		reached[0][975] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 976, 1310) */
		reached[0][976] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 977, 1310) */
		reached[0][977] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 978, 1310) */
		reached[0][978] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 979, 1310) */
		reached[0][979] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 980, 1310) */
		reached[0][980] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 981, 1310) */
		reached[0][981] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 196: // STATE 984 - admission.pml:186 - [(((willing[i]&&!(draining[i]))&&((windowOver[i]&&(agentView[i]==packet[2].view))&&!(1))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][984] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&&((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[2].view)))&& !(1)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 197: // STATE 985 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:999:4 - 1)
		IfNotBlocked
		reached[0][985] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(999, 986, 999) */
		reached[0][986] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(999, 987, 999) */
		reached[0][987] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(999, 988, 999) */
		reached[0][988] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(999, 989, 999) */
		reached[0][989] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(999, 990, 999) */
		reached[0][990] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 198: // STATE 991 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][991] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 992, 1310) */
		reached[0][992] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 993, 1310) */
		reached[0][993] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 994, 1310) */
		reached[0][994] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 995, 1310) */
		reached[0][995] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 996, 1310) */
		reached[0][996] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 997, 1310) */
		reached[0][997] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 998, 1310) */
		reached[0][998] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 199: // STATE 1001 - admission.pml:187 - [(((willing[i]&&!(draining[i]))&&!(((windowOver[i]&&(agentView[i]==packet[2].view))&&!(1)))))] (1058:0:2 - 1)
		IfNotBlocked
		reached[0][1001] = 1;
		if (!(((((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ])&& !(((int)now.draining[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[2].view)))&& !(1))))))
			continue;
		/* merge: claiming[i] = 1(1058, 1002, 1058) */
		reached[0][1002] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: packet[2].claimant = i(1058, 1003, 1058) */
		reached[0][1003] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 200: // STATE 1004 - admission.pml:196 - [((((packet[2].position+1)>=2)&&(packet[2].position==0)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1004] = 1;
		if (!((((((int)now.packet[2].position)+1)>=2)&&(((int)now.packet[2].position)==0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 201: // STATE 1005 - admission.pml:100 - [assert(((!(known[0])&&!(known[1]))&&!(known[2])))] (0:1019:4 - 1)
		IfNotBlocked
		reached[0][1005] = 1;
		spin_assert((( !(((int)now.known[0]))&& !(((int)now.known[1])))&& !(((int)now.known[2]))), "(( !(known[0])&& !(known[1]))&& !(known[2]))", II, tt, t);
		/* merge: assert(!((1&&refusalSent)))(1019, 1006, 1019) */
		reached[0][1006] = 1;
		spin_assert( !((1&&((int)now.refusalSent))), " !((1&&refusalSent))", II, tt, t);
		/* merge: known[i] = 1(1019, 1007, 1019) */
		reached[0][1007] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.known[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("known[system:i]", ((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: establishedOnce = 1(1019, 1008, 1019) */
		reached[0][1008] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.establishedOnce);
		now.establishedOnce = 1;
#ifdef VAR_RANGES
		logval("establishedOnce", ((int)now.establishedOnce));
#endif
		;
		/* merge: note[i] = 7(1019, 1009, 1019) */
		reached[0][1009] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(1019, 1010, 1019) */
		reached[0][1010] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 202: // STATE 1011 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1011] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1012, 1310) */
		reached[0][1012] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1013, 1310) */
		reached[0][1013] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1014, 1310) */
		reached[0][1014] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1015, 1310) */
		reached[0][1015] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1016, 1310) */
		reached[0][1016] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1017, 1310) */
		reached[0][1017] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1018, 1310) */
		reached[0][1018] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1059, 1310) */
		reached[0][1059] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 203: // STATE 1022 - admission.pml:124 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1022] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 204: // STATE 1023 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1023] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1024, 1310) */
		reached[0][1024] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1025, 1310) */
		reached[0][1025] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1026, 1310) */
		reached[0][1026] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1027, 1310) */
		reached[0][1027] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1028, 1310) */
		reached[0][1028] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1029, 1310) */
		reached[0][1029] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1030, 1310) */
		reached[0][1030] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1056, 1310) */
		reached[0][1056] = 1;
		;
		/* merge: .(goto)(1310, 1059, 1310) */
		reached[0][1059] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 205: // STATE 1033 - admission.pml:126 - [packet[2].hops = (packet[2].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1033] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 206: // STATE 1034 - admission.pml:128 - [(((packet[2].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1034] = 1;
		if (!(((((int)now.packet[2].position)+1)<2)))
			continue;
		/* merge: packet[2].position = (packet[2].position+1)(1310, 1035, 1310) */
		reached[0][1035] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].position);
		now.packet[2].position = (((int)now.packet[2].position)+1);
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )(1310, 1036, 1310) */
		reached[0][1036] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ( ((((int)now.packet[2].view)==0)) ? (( ((((int)now.packet[2].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[2].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: .(goto)(1310, 1054, 1310) */
		reached[0][1054] = 1;
		;
		/* merge: .(goto)(1310, 1056, 1310) */
		reached[0][1056] = 1;
		;
		/* merge: .(goto)(1310, 1059, 1310) */
		reached[0][1059] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 207: // STATE 1038 - admission.pml:133 - [((packet[2].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1038] = 1;
		if (!((((int)now.packet[2].claimant)!=7)))
			continue;
		/* merge: packet[2].at = packet[2].claimant(1310, 1039, 1310) */
		reached[0][1039] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.packet[2].claimant);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 1(1310, 1040, 1310) */
		reached[0][1040] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].returning);
		now.packet[2].returning = 1;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 1052, 1310) */
		reached[0][1052] = 1;
		;
		/* merge: .(goto)(1310, 1054, 1310) */
		reached[0][1054] = 1;
		;
		/* merge: .(goto)(1310, 1056, 1310) */
		reached[0][1056] = 1;
		;
		/* merge: .(goto)(1310, 1059, 1310) */
		reached[0][1059] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 208: // STATE 1042 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1042] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1043, 1310) */
		reached[0][1043] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1044, 1310) */
		reached[0][1044] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1045, 1310) */
		reached[0][1045] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1046, 1310) */
		reached[0][1046] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1047, 1310) */
		reached[0][1047] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1048, 1310) */
		reached[0][1048] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1049, 1310) */
		reached[0][1049] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1052, 1310) */
		reached[0][1052] = 1;
		;
		/* merge: .(goto)(1310, 1054, 1310) */
		reached[0][1054] = 1;
		;
		/* merge: .(goto)(1310, 1056, 1310) */
		reached[0][1056] = 1;
		;
		/* merge: .(goto)(1310, 1059, 1310) */
		reached[0][1059] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 209: // STATE 1061 - admission.pml:202 - [((((packet[2].position+1)>=2)&&(windowOver[i]&&(agentView[i]==packet[2].view))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1061] = 1;
		if (!((((((int)now.packet[2].position)+1)>=2)&&(((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[2].view))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 210: // STATE 1062 - admission.pml:113 - [assert(!((1&&(establishedOnce||((known[0]||known[1])||known[2])))))] (0:1073:2 - 1)
		IfNotBlocked
		reached[0][1062] = 1;
		spin_assert( !((1&&(((int)now.establishedOnce)||((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2]))))), " !((1&&(establishedOnce||((known[0]||known[1])||known[2]))))", II, tt, t);
		/* merge: refusalSent = 1(1073, 1063, 1073) */
		reached[0][1063] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.refusalSent);
		now.refusalSent = 1;
#ifdef VAR_RANGES
		logval("refusalSent", ((int)now.refusalSent));
#endif
		;
		/* merge: note[i] = 6(1073, 1064, 1073) */
		reached[0][1064] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 6;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 211: // STATE 1065 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1065] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1066, 1310) */
		reached[0][1066] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1067, 1310) */
		reached[0][1067] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1068, 1310) */
		reached[0][1068] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1069, 1310) */
		reached[0][1069] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1070, 1310) */
		reached[0][1070] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1071, 1310) */
		reached[0][1071] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1072, 1310) */
		reached[0][1072] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 212: // STATE 1075 - admission.pml:203 - [((((packet[2].position+1)>=2)&&!((windowOver[i]&&(agentView[i]==packet[2].view)))))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1075] = 1;
		if (!((((((int)now.packet[2].position)+1)>=2)&& !((((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ])&&(((int)now.agentView[ Index(((int)((P0 *)_this)->i), 3) ])==((int)now.packet[2].view)))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 213: // STATE 1076 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1076] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1077, 1310) */
		reached[0][1077] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1078, 1310) */
		reached[0][1078] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1079, 1310) */
		reached[0][1079] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1080, 1310) */
		reached[0][1080] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1081, 1310) */
		reached[0][1081] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1082, 1310) */
		reached[0][1082] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1083, 1310) */
		reached[0][1083] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 214: // STATE 1086 - admission.pml:206 - [note[i] = ( ((packet[2].view==0)) -> (( (((packet[2].position+1)==0)) -> (0) : (1) )) : (( (((packet[2].position+1)==0)) -> (1) : (0) )) )] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1086] = 1;
		(trpt+1)->bup.oval = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = ( ((((int)now.packet[2].view)==0)) ? (( (((((int)now.packet[2].position)+1)==0)) ? (0) : (1) )) : (( (((((int)now.packet[2].position)+1)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 215: // STATE 1087 - admission.pml:124 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1087] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 216: // STATE 1088 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1088] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1089, 1310) */
		reached[0][1089] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1090, 1310) */
		reached[0][1090] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1091, 1310) */
		reached[0][1091] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1092, 1310) */
		reached[0][1092] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1093, 1310) */
		reached[0][1093] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1094, 1310) */
		reached[0][1094] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1095, 1310) */
		reached[0][1095] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1121, 1310) */
		reached[0][1121] = 1;
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 217: // STATE 1098 - admission.pml:126 - [packet[2].hops = (packet[2].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1098] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 218: // STATE 1099 - admission.pml:128 - [(((packet[2].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1099] = 1;
		if (!(((((int)now.packet[2].position)+1)<2)))
			continue;
		/* merge: packet[2].position = (packet[2].position+1)(1310, 1100, 1310) */
		reached[0][1100] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].position);
		now.packet[2].position = (((int)now.packet[2].position)+1);
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )(1310, 1101, 1310) */
		reached[0][1101] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ( ((((int)now.packet[2].view)==0)) ? (( ((((int)now.packet[2].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[2].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: .(goto)(1310, 1119, 1310) */
		reached[0][1119] = 1;
		;
		/* merge: .(goto)(1310, 1121, 1310) */
		reached[0][1121] = 1;
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 219: // STATE 1103 - admission.pml:133 - [((packet[2].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1103] = 1;
		if (!((((int)now.packet[2].claimant)!=7)))
			continue;
		/* merge: packet[2].at = packet[2].claimant(1310, 1104, 1310) */
		reached[0][1104] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.packet[2].claimant);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 1(1310, 1105, 1310) */
		reached[0][1105] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].returning);
		now.packet[2].returning = 1;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 1117, 1310) */
		reached[0][1117] = 1;
		;
		/* merge: .(goto)(1310, 1119, 1310) */
		reached[0][1119] = 1;
		;
		/* merge: .(goto)(1310, 1121, 1310) */
		reached[0][1121] = 1;
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 220: // STATE 1107 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1107] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1108, 1310) */
		reached[0][1108] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1109, 1310) */
		reached[0][1109] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1110, 1310) */
		reached[0][1110] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1111, 1310) */
		reached[0][1111] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1112, 1310) */
		reached[0][1112] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1113, 1310) */
		reached[0][1113] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1114, 1310) */
		reached[0][1114] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1117, 1310) */
		reached[0][1117] = 1;
		;
		/* merge: .(goto)(1310, 1119, 1310) */
		reached[0][1119] = 1;
		;
		/* merge: .(goto)(1310, 1121, 1310) */
		reached[0][1121] = 1;
		;
		/* merge: .(goto)(1310, 1124, 1310) */
		reached[0][1124] = 1;
		;
		/* merge: .(goto)(1310, 1126, 1310) */
		reached[0][1126] = 1;
		;
		/* merge: .(goto)(1310, 1128, 1310) */
		reached[0][1128] = 1;
		;
		/* merge: .(goto)(1310, 1130, 1310) */
		reached[0][1130] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 221: // STATE 1132 - admission.pml:227 - [(((!(foreign[i])&&!(known[i]))&&!(packet[2].first)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1132] = 1;
		if (!((( !(((int)now.foreign[ Index(((int)((P0 *)_this)->i), 3) ]))&& !(((int)now.known[ Index(((int)((P0 *)_this)->i), 3) ])))&& !(((int)now.packet[2].first)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 222: // STATE 1133 - admission.pml:229 - [((((note[i]!=7)&&(note[i]!=6))&&(packet[2].hops<8)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1133] = 1;
		if (!((((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=7)&&(((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])!=6))&&(((int)now.packet[2].hops)<8))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 223: // STATE 1134 - admission.pml:144 - [((note[i]==6))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1134] = 1;
		if (!((((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ])==6)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		_m = 3; goto P999; /* 0 */
	case 224: // STATE 1135 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1135] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1136, 1310) */
		reached[0][1136] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1137, 1310) */
		reached[0][1137] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1138, 1310) */
		reached[0][1138] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1139, 1310) */
		reached[0][1139] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1140, 1310) */
		reached[0][1140] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1141, 1310) */
		reached[0][1141] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1142, 1310) */
		reached[0][1142] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1159, 1310) */
		reached[0][1159] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 225: // STATE 1144 - admission.pml:145 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1144] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 226: // STATE 1145 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1145] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1146, 1310) */
		reached[0][1146] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1147, 1310) */
		reached[0][1147] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1148, 1310) */
		reached[0][1148] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1149, 1310) */
		reached[0][1149] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1150, 1310) */
		reached[0][1150] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1151, 1310) */
		reached[0][1151] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1152, 1310) */
		reached[0][1152] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1159, 1310) */
		reached[0][1159] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 227: // STATE 1155 - admission.pml:147 - [packet[2].hops = (packet[2].hops+1)] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][1155] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: packet[2].at = note[i](1310, 1156, 1310) */
		reached[0][1156] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1157, 1310) */
		reached[0][1157] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 1159, 1310) */
		reached[0][1159] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 228: // STATE 1162 - admission.pml:232 - [(!(((packet[2].position+1)>=2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1162] = 1;
		if (!( !(((((int)now.packet[2].position)+1)>=2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 229: // STATE 1163 - admission.pml:124 - [((packet[2].hops>=8))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1163] = 1;
		if (!((((int)now.packet[2].hops)>=8)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 230: // STATE 1164 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1164] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1165, 1310) */
		reached[0][1165] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1166, 1310) */
		reached[0][1166] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1167, 1310) */
		reached[0][1167] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1168, 1310) */
		reached[0][1168] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1169, 1310) */
		reached[0][1169] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1170, 1310) */
		reached[0][1170] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1171, 1310) */
		reached[0][1171] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1197, 1310) */
		reached[0][1197] = 1;
		;
		/* merge: .(goto)(1310, 1214, 1310) */
		reached[0][1214] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 231: // STATE 1174 - admission.pml:126 - [packet[2].hops = (packet[2].hops+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][1174] = 1;
		(trpt+1)->bup.oval = ((int)now.packet[2].hops);
		now.packet[2].hops = (((int)now.packet[2].hops)+1);
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 232: // STATE 1175 - admission.pml:128 - [(((packet[2].position+1)<2))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1175] = 1;
		if (!(((((int)now.packet[2].position)+1)<2)))
			continue;
		/* merge: packet[2].position = (packet[2].position+1)(1310, 1176, 1310) */
		reached[0][1176] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].position);
		now.packet[2].position = (((int)now.packet[2].position)+1);
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].at = ( ((packet[2].view==0)) -> (( ((packet[2].position==0)) -> (0) : (1) )) : (( ((packet[2].position==0)) -> (1) : (0) )) )(1310, 1177, 1310) */
		reached[0][1177] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].at);
		now.packet[2].at = ( ((((int)now.packet[2].view)==0)) ? (( ((((int)now.packet[2].position)==0)) ? (0) : (1) )) : (( ((((int)now.packet[2].position)==0)) ? (1) : (0) )) );
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: .(goto)(1310, 1195, 1310) */
		reached[0][1195] = 1;
		;
		/* merge: .(goto)(1310, 1197, 1310) */
		reached[0][1197] = 1;
		;
		/* merge: .(goto)(1310, 1214, 1310) */
		reached[0][1214] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 233: // STATE 1179 - admission.pml:133 - [((packet[2].claimant!=7))] (1310:0:3 - 1)
		IfNotBlocked
		reached[0][1179] = 1;
		if (!((((int)now.packet[2].claimant)!=7)))
			continue;
		/* merge: packet[2].at = packet[2].claimant(1310, 1180, 1310) */
		reached[0][1180] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].at);
		now.packet[2].at = ((int)now.packet[2].claimant);
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].returning = 1(1310, 1181, 1310) */
		reached[0][1181] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].returning);
		now.packet[2].returning = 1;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: .(goto)(1310, 1193, 1310) */
		reached[0][1193] = 1;
		;
		/* merge: .(goto)(1310, 1195, 1310) */
		reached[0][1195] = 1;
		;
		/* merge: .(goto)(1310, 1197, 1310) */
		reached[0][1197] = 1;
		;
		/* merge: .(goto)(1310, 1214, 1310) */
		reached[0][1214] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 234: // STATE 1183 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1183] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1184, 1310) */
		reached[0][1184] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1185, 1310) */
		reached[0][1185] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1186, 1310) */
		reached[0][1186] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1187, 1310) */
		reached[0][1187] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1188, 1310) */
		reached[0][1188] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1189, 1310) */
		reached[0][1189] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1190, 1310) */
		reached[0][1190] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1193, 1310) */
		reached[0][1193] = 1;
		;
		/* merge: .(goto)(1310, 1195, 1310) */
		reached[0][1195] = 1;
		;
		/* merge: .(goto)(1310, 1197, 1310) */
		reached[0][1197] = 1;
		;
		/* merge: .(goto)(1310, 1214, 1310) */
		reached[0][1214] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 235: // STATE 1200 - admission.pml:235 - [(1)] (1210:0:0 - 1)
		IfNotBlocked
		reached[0][1200] = 1;
		if (!(1))
			continue;
		/* merge: assert(!(((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2]))))(0, 1201, 1210) */
		reached[0][1201] = 1;
		spin_assert( !((((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&((((int)now.known[0])||((int)now.known[1]))||((int)now.known[2])))), " !((((( !(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&((known[0]||known[1])||known[2])))", II, tt, t);
		_m = 3; goto P999; /* 1 */
	case 236: // STATE 1202 - admission.pml:94 - [packet[2].used = 0] (0:1310:9 - 1)
		IfNotBlocked
		reached[0][1202] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1203, 1310) */
		reached[0][1203] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1204, 1310) */
		reached[0][1204] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1205, 1310) */
		reached[0][1205] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1206, 1310) */
		reached[0][1206] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1207, 1310) */
		reached[0][1207] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1208, 1310) */
		reached[0][1208] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1209, 1310) */
		reached[0][1209] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(1310, 1212, 1310) */
		reached[0][1212] = 1;
		;
		/* merge: .(goto)(1310, 1214, 1310) */
		reached[0][1214] = 1;
		;
		/* merge: .(goto)(1310, 1216, 1310) */
		reached[0][1216] = 1;
		;
		/* merge: .(goto)(1310, 1218, 1310) */
		reached[0][1218] = 1;
		;
		/* merge: i = 0(1310, 1219, 1310) */
		reached[0][1219] = 1;
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
	case 237: // STATE 1222 - admission.pml:310 - [((packet[0].used&&packet[0].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1222] = 1;
		if (!((((int)now.packet[0].used)&&((int)now.packet[0].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 238: // STATE 1223 - admission.pml:94 - [packet[0].used = 0] (0:1310:8 - 1)
		IfNotBlocked
		reached[0][1223] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[0].used);
		now.packet[0].used = 0;
#ifdef VAR_RANGES
		logval("packet[0].used", ((int)now.packet[0].used));
#endif
		;
		/* merge: packet[0].first = 0(1310, 1224, 1310) */
		reached[0][1224] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[0].first);
		now.packet[0].first = 0;
#ifdef VAR_RANGES
		logval("packet[0].first", ((int)now.packet[0].first));
#endif
		;
		/* merge: packet[0].view = 0(1310, 1225, 1310) */
		reached[0][1225] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[0].view);
		now.packet[0].view = 0;
#ifdef VAR_RANGES
		logval("packet[0].view", ((int)now.packet[0].view));
#endif
		;
		/* merge: packet[0].at = 0(1310, 1226, 1310) */
		reached[0][1226] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[0].at);
		now.packet[0].at = 0;
#ifdef VAR_RANGES
		logval("packet[0].at", ((int)now.packet[0].at));
#endif
		;
		/* merge: packet[0].position = 0(1310, 1227, 1310) */
		reached[0][1227] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[0].position);
		now.packet[0].position = 0;
#ifdef VAR_RANGES
		logval("packet[0].position", ((int)now.packet[0].position));
#endif
		;
		/* merge: packet[0].claimant = 7(1310, 1228, 1310) */
		reached[0][1228] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[0].claimant);
		now.packet[0].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[0].claimant", ((int)now.packet[0].claimant));
#endif
		;
		/* merge: packet[0].returning = 0(1310, 1229, 1310) */
		reached[0][1229] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[0].returning);
		now.packet[0].returning = 0;
#ifdef VAR_RANGES
		logval("packet[0].returning", ((int)now.packet[0].returning));
#endif
		;
		/* merge: packet[0].hops = 0(1310, 1230, 1310) */
		reached[0][1230] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[0].hops);
		now.packet[0].hops = 0;
#ifdef VAR_RANGES
		logval("packet[0].hops", ((int)now.packet[0].hops));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 239: // STATE 1233 - admission.pml:311 - [((packet[1].used&&packet[1].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1233] = 1;
		if (!((((int)now.packet[1].used)&&((int)now.packet[1].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 240: // STATE 1234 - admission.pml:94 - [packet[1].used = 0] (0:1310:8 - 1)
		IfNotBlocked
		reached[0][1234] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[1].used);
		now.packet[1].used = 0;
#ifdef VAR_RANGES
		logval("packet[1].used", ((int)now.packet[1].used));
#endif
		;
		/* merge: packet[1].first = 0(1310, 1235, 1310) */
		reached[0][1235] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[1].first);
		now.packet[1].first = 0;
#ifdef VAR_RANGES
		logval("packet[1].first", ((int)now.packet[1].first));
#endif
		;
		/* merge: packet[1].view = 0(1310, 1236, 1310) */
		reached[0][1236] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[1].view);
		now.packet[1].view = 0;
#ifdef VAR_RANGES
		logval("packet[1].view", ((int)now.packet[1].view));
#endif
		;
		/* merge: packet[1].at = 0(1310, 1237, 1310) */
		reached[0][1237] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[1].at);
		now.packet[1].at = 0;
#ifdef VAR_RANGES
		logval("packet[1].at", ((int)now.packet[1].at));
#endif
		;
		/* merge: packet[1].position = 0(1310, 1238, 1310) */
		reached[0][1238] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[1].position);
		now.packet[1].position = 0;
#ifdef VAR_RANGES
		logval("packet[1].position", ((int)now.packet[1].position));
#endif
		;
		/* merge: packet[1].claimant = 7(1310, 1239, 1310) */
		reached[0][1239] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[1].claimant);
		now.packet[1].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[1].claimant", ((int)now.packet[1].claimant));
#endif
		;
		/* merge: packet[1].returning = 0(1310, 1240, 1310) */
		reached[0][1240] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[1].returning);
		now.packet[1].returning = 0;
#ifdef VAR_RANGES
		logval("packet[1].returning", ((int)now.packet[1].returning));
#endif
		;
		/* merge: packet[1].hops = 0(1310, 1241, 1310) */
		reached[0][1241] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[1].hops);
		now.packet[1].hops = 0;
#ifdef VAR_RANGES
		logval("packet[1].hops", ((int)now.packet[1].hops));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 241: // STATE 1244 - admission.pml:312 - [((packet[2].used&&packet[2].first))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1244] = 1;
		if (!((((int)now.packet[2].used)&&((int)now.packet[2].first))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 242: // STATE 1245 - admission.pml:94 - [packet[2].used = 0] (0:1310:8 - 1)
		IfNotBlocked
		reached[0][1245] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.packet[2].used);
		now.packet[2].used = 0;
#ifdef VAR_RANGES
		logval("packet[2].used", ((int)now.packet[2].used));
#endif
		;
		/* merge: packet[2].first = 0(1310, 1246, 1310) */
		reached[0][1246] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.packet[2].first);
		now.packet[2].first = 0;
#ifdef VAR_RANGES
		logval("packet[2].first", ((int)now.packet[2].first));
#endif
		;
		/* merge: packet[2].view = 0(1310, 1247, 1310) */
		reached[0][1247] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.packet[2].view);
		now.packet[2].view = 0;
#ifdef VAR_RANGES
		logval("packet[2].view", ((int)now.packet[2].view));
#endif
		;
		/* merge: packet[2].at = 0(1310, 1248, 1310) */
		reached[0][1248] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.packet[2].at);
		now.packet[2].at = 0;
#ifdef VAR_RANGES
		logval("packet[2].at", ((int)now.packet[2].at));
#endif
		;
		/* merge: packet[2].position = 0(1310, 1249, 1310) */
		reached[0][1249] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.packet[2].position);
		now.packet[2].position = 0;
#ifdef VAR_RANGES
		logval("packet[2].position", ((int)now.packet[2].position));
#endif
		;
		/* merge: packet[2].claimant = 7(1310, 1250, 1310) */
		reached[0][1250] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.packet[2].claimant);
		now.packet[2].claimant = 7;
#ifdef VAR_RANGES
		logval("packet[2].claimant", ((int)now.packet[2].claimant));
#endif
		;
		/* merge: packet[2].returning = 0(1310, 1251, 1310) */
		reached[0][1251] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.packet[2].returning);
		now.packet[2].returning = 0;
#ifdef VAR_RANGES
		logval("packet[2].returning", ((int)now.packet[2].returning));
#endif
		;
		/* merge: packet[2].hops = 0(1310, 1252, 1310) */
		reached[0][1252] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.packet[2].hops);
		now.packet[2].hops = 0;
#ifdef VAR_RANGES
		logval("packet[2].hops", ((int)now.packet[2].hops));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 243: // STATE 1255 - admission.pml:314 - [(!(changed))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1255] = 1;
		if (!( !(((int)now.changed))))
			continue;
		/* merge: changed = 1(0, 1256, 1310) */
		reached[0][1256] = 1;
		(trpt+1)->bup.oval = ((int)now.changed);
		now.changed = 1;
#ifdef VAR_RANGES
		logval("changed", ((int)now.changed));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 244: // STATE 1258 - admission.pml:315 - [((changed&&(entryView[0]==0)))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1258] = 1;
		if (!((((int)now.changed)&&(((int)now.entryView[0])==0))))
			continue;
		/* merge: entryView[0] = 1(0, 1259, 1310) */
		reached[0][1259] = 1;
		(trpt+1)->bup.oval = ((int)now.entryView[0]);
		now.entryView[0] = 1;
#ifdef VAR_RANGES
		logval("entryView[0]", ((int)now.entryView[0]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 245: // STATE 1261 - admission.pml:316 - [((changed&&(entryView[1]==0)))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1261] = 1;
		if (!((((int)now.changed)&&(((int)now.entryView[1])==0))))
			continue;
		/* merge: entryView[1] = 1(0, 1262, 1310) */
		reached[0][1262] = 1;
		(trpt+1)->bup.oval = ((int)now.entryView[1]);
		now.entryView[1] = 1;
#ifdef VAR_RANGES
		logval("entryView[1]", ((int)now.entryView[1]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 246: // STATE 1264 - admission.pml:317 - [((changed&&(agentView[0]==0)))] (1310:0:2 - 1)
		IfNotBlocked
		reached[0][1264] = 1;
		if (!((((int)now.changed)&&(((int)now.agentView[0])==0))))
			continue;
		/* merge: agentView[0] = 1(1310, 1265, 1310) */
		reached[0][1265] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.agentView[0]);
		now.agentView[0] = 1;
#ifdef VAR_RANGES
		logval("agentView[0]", ((int)now.agentView[0]));
#endif
		;
		/* merge: windowOver[0] = 0(1310, 1266, 1310) */
		reached[0][1266] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.windowOver[0]);
		now.windowOver[0] = 0;
#ifdef VAR_RANGES
		logval("windowOver[0]", ((int)now.windowOver[0]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 247: // STATE 1268 - admission.pml:318 - [((changed&&(agentView[1]==0)))] (1310:0:2 - 1)
		IfNotBlocked
		reached[0][1268] = 1;
		if (!((((int)now.changed)&&(((int)now.agentView[1])==0))))
			continue;
		/* merge: agentView[1] = 1(1310, 1269, 1310) */
		reached[0][1269] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.agentView[1]);
		now.agentView[1] = 1;
#ifdef VAR_RANGES
		logval("agentView[1]", ((int)now.agentView[1]));
#endif
		;
		/* merge: windowOver[1] = 0(1310, 1270, 1310) */
		reached[0][1270] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.windowOver[1]);
		now.windowOver[1] = 0;
#ifdef VAR_RANGES
		logval("windowOver[1]", ((int)now.windowOver[1]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 248: // STATE 1272 - admission.pml:319 - [(((changed&&!(windowOver[0]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1272] = 1;
		if (!(((((int)now.changed)&& !(((int)now.windowOver[0])))&&(((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&( !(((int)now.startedBeforeAgreement))||((((int)now.firstSent)==2)&&(( !(((int)now.packet[0].used))&& !(((int)now.packet[1].used)))&& !(((int)now.packet[2].used)))))))))
			continue;
		/* merge: windowOver[0] = 1(0, 1273, 1310) */
		reached[0][1273] = 1;
		(trpt+1)->bup.oval = ((int)now.windowOver[0]);
		now.windowOver[0] = 1;
#ifdef VAR_RANGES
		logval("windowOver[0]", ((int)now.windowOver[0]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 249: // STATE 1275 - admission.pml:320 - [(((changed&&!(windowOver[1]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1275] = 1;
		if (!(((((int)now.changed)&& !(((int)now.windowOver[1])))&&(((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&( !(((int)now.startedBeforeAgreement))||((((int)now.firstSent)==2)&&(( !(((int)now.packet[0].used))&& !(((int)now.packet[1].used)))&& !(((int)now.packet[2].used)))))))))
			continue;
		/* merge: windowOver[1] = 1(0, 1276, 1310) */
		reached[0][1276] = 1;
		(trpt+1)->bup.oval = ((int)now.windowOver[1]);
		now.windowOver[1] = 1;
#ifdef VAR_RANGES
		logval("windowOver[1]", ((int)now.windowOver[1]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 250: // STATE 1278 - admission.pml:321 - [(((changed&&!(windowOver[2]))&&((((!(changed)&&(entryView[0]==0))&&(entryView[1]==0))||(((entryView[0]==1)&&(entryView[1]==1))&&(((agentView[0]==1)&&(agentView[1]==1))&&(agentView[2]==1))))&&(!(startedBeforeAgreement)||((firstSent==2)&&((!(packet[0].used)&&!(packet[1].used))&&!(packet[2].used)))))))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1278] = 1;
		if (!(((((int)now.changed)&& !(((int)now.windowOver[2])))&&(((( !(((int)now.changed))&&(((int)now.entryView[0])==0))&&(((int)now.entryView[1])==0))||(((((int)now.entryView[0])==1)&&(((int)now.entryView[1])==1))&&(((((int)now.agentView[0])==1)&&(((int)now.agentView[1])==1))&&(((int)now.agentView[2])==1))))&&( !(((int)now.startedBeforeAgreement))||((((int)now.firstSent)==2)&&(( !(((int)now.packet[0].used))&& !(((int)now.packet[1].used)))&& !(((int)now.packet[2].used)))))))))
			continue;
		/* merge: windowOver[2] = 1(0, 1279, 1310) */
		reached[0][1279] = 1;
		(trpt+1)->bup.oval = ((int)now.windowOver[2]);
		now.windowOver[2] = 1;
#ifdef VAR_RANGES
		logval("windowOver[2]", ((int)now.windowOver[2]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 251: // STATE 1281 - admission.pml:323 - [((flips<2))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1281] = 1;
		if (!((((int)now.flips)<2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 252: // STATE 1282 - admission.pml:323 - [i = 0] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][1282] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1286, 1310) */
		reached[0][1286] = 1;
		;
		/* merge: willing[i] = !(willing[i])(1310, 1287, 1310) */
		reached[0][1287] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.willing[ Index(((P0 *)_this)->i, 3) ] =  !(((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#ifdef VAR_RANGES
		logval("willing[system:i]", ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: flips = (flips+1)(1310, 1288, 1310) */
		reached[0][1288] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.flips);
		now.flips = (((int)now.flips)+1);
#ifdef VAR_RANGES
		logval("flips", ((int)now.flips));
#endif
		;
		/* merge: i = 0(1310, 1289, 1310) */
		reached[0][1289] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 253: // STATE 1283 - admission.pml:323 - [i = 1] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][1283] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 1;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1286, 1310) */
		reached[0][1286] = 1;
		;
		/* merge: willing[i] = !(willing[i])(1310, 1287, 1310) */
		reached[0][1287] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.willing[ Index(((P0 *)_this)->i, 3) ] =  !(((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#ifdef VAR_RANGES
		logval("willing[system:i]", ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: flips = (flips+1)(1310, 1288, 1310) */
		reached[0][1288] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.flips);
		now.flips = (((int)now.flips)+1);
#ifdef VAR_RANGES
		logval("flips", ((int)now.flips));
#endif
		;
		/* merge: i = 0(1310, 1289, 1310) */
		reached[0][1289] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 254: // STATE 1284 - admission.pml:323 - [i = 2] (0:1310:4 - 1)
		IfNotBlocked
		reached[0][1284] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 2;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1286, 1310) */
		reached[0][1286] = 1;
		;
		/* merge: willing[i] = !(willing[i])(1310, 1287, 1310) */
		reached[0][1287] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.willing[ Index(((P0 *)_this)->i, 3) ] =  !(((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#ifdef VAR_RANGES
		logval("willing[system:i]", ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: flips = (flips+1)(1310, 1288, 1310) */
		reached[0][1288] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.flips);
		now.flips = (((int)now.flips)+1);
#ifdef VAR_RANGES
		logval("flips", ((int)now.flips));
#endif
		;
		/* merge: i = 0(1310, 1289, 1310) */
		reached[0][1289] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 255: // STATE 1287 - admission.pml:323 - [willing[i] = !(willing[i])] (0:1310:3 - 4)
		IfNotBlocked
		reached[0][1287] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.willing[ Index(((P0 *)_this)->i, 3) ] =  !(((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#ifdef VAR_RANGES
		logval("willing[system:i]", ((int)now.willing[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: flips = (flips+1)(1310, 1288, 1310) */
		reached[0][1288] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.flips);
		now.flips = (((int)now.flips)+1);
#ifdef VAR_RANGES
		logval("flips", ((int)now.flips));
#endif
		;
		/* merge: i = 0(1310, 1289, 1310) */
		reached[0][1289] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 256: // STATE 1291 - admission.pml:324 - [(!(draining[0]))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1291] = 1;
		if (!( !(((int)now.draining[0]))))
			continue;
		/* merge: draining[0] = 1(0, 1292, 1310) */
		reached[0][1292] = 1;
		(trpt+1)->bup.oval = ((int)now.draining[0]);
		now.draining[0] = 1;
#ifdef VAR_RANGES
		logval("draining[0]", ((int)now.draining[0]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 257: // STATE 1294 - admission.pml:326 - [(!(restarted))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1294] = 1;
		if (!( !(((int)now.restarted))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 258: // STATE 1295 - admission.pml:327 - [i = 0] (0:1310:7 - 1)
		IfNotBlocked
		reached[0][1295] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1299, 1310) */
		reached[0][1299] = 1;
		;
		/* merge: restarted = 1(1310, 1300, 1310) */
		reached[0][1300] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.restarted);
		now.restarted = 1;
#ifdef VAR_RANGES
		logval("restarted", ((int)now.restarted));
#endif
		;
		/* merge: note[i] = 7(1310, 1301, 1310) */
		reached[0][1301] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(1310, 1302, 1310) */
		reached[0][1302] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: windowOver[i] = 0(1310, 1303, 1310) */
		reached[0][1303] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("windowOver[system:i]", ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: startedBeforeAgreement = ( ((firstSent>0)) -> (1) : (startedBeforeAgreement) )(1310, 1304, 1310) */
		reached[0][1304] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.startedBeforeAgreement);
		now.startedBeforeAgreement = ( ((((int)now.firstSent)>0)) ? (1) : (((int)now.startedBeforeAgreement)) );
#ifdef VAR_RANGES
		logval("startedBeforeAgreement", ((int)now.startedBeforeAgreement));
#endif
		;
		/* merge: i = 0(1310, 1305, 1310) */
		reached[0][1305] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 259: // STATE 1296 - admission.pml:327 - [i = 1] (0:1310:7 - 1)
		IfNotBlocked
		reached[0][1296] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 1;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1299, 1310) */
		reached[0][1299] = 1;
		;
		/* merge: restarted = 1(1310, 1300, 1310) */
		reached[0][1300] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.restarted);
		now.restarted = 1;
#ifdef VAR_RANGES
		logval("restarted", ((int)now.restarted));
#endif
		;
		/* merge: note[i] = 7(1310, 1301, 1310) */
		reached[0][1301] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(1310, 1302, 1310) */
		reached[0][1302] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: windowOver[i] = 0(1310, 1303, 1310) */
		reached[0][1303] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("windowOver[system:i]", ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: startedBeforeAgreement = ( ((firstSent>0)) -> (1) : (startedBeforeAgreement) )(1310, 1304, 1310) */
		reached[0][1304] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.startedBeforeAgreement);
		now.startedBeforeAgreement = ( ((((int)now.firstSent)>0)) ? (1) : (((int)now.startedBeforeAgreement)) );
#ifdef VAR_RANGES
		logval("startedBeforeAgreement", ((int)now.startedBeforeAgreement));
#endif
		;
		/* merge: i = 0(1310, 1305, 1310) */
		reached[0][1305] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 260: // STATE 1297 - admission.pml:327 - [i = 2] (0:1310:7 - 1)
		IfNotBlocked
		reached[0][1297] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 2;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(1310, 1299, 1310) */
		reached[0][1299] = 1;
		;
		/* merge: restarted = 1(1310, 1300, 1310) */
		reached[0][1300] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.restarted);
		now.restarted = 1;
#ifdef VAR_RANGES
		logval("restarted", ((int)now.restarted));
#endif
		;
		/* merge: note[i] = 7(1310, 1301, 1310) */
		reached[0][1301] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(1310, 1302, 1310) */
		reached[0][1302] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: windowOver[i] = 0(1310, 1303, 1310) */
		reached[0][1303] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("windowOver[system:i]", ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: startedBeforeAgreement = ( ((firstSent>0)) -> (1) : (startedBeforeAgreement) )(1310, 1304, 1310) */
		reached[0][1304] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.startedBeforeAgreement);
		now.startedBeforeAgreement = ( ((((int)now.firstSent)>0)) ? (1) : (((int)now.startedBeforeAgreement)) );
#ifdef VAR_RANGES
		logval("startedBeforeAgreement", ((int)now.startedBeforeAgreement));
#endif
		;
		/* merge: i = 0(1310, 1305, 1310) */
		reached[0][1305] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 8 */
	case 261: // STATE 1300 - admission.pml:328 - [restarted = 1] (0:1310:6 - 4)
		IfNotBlocked
		reached[0][1300] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.restarted);
		now.restarted = 1;
#ifdef VAR_RANGES
		logval("restarted", ((int)now.restarted));
#endif
		;
		/* merge: note[i] = 7(1310, 1301, 1310) */
		reached[0][1301] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.note[ Index(((P0 *)_this)->i, 3) ] = 7;
#ifdef VAR_RANGES
		logval("note[system:i]", ((int)now.note[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: claiming[i] = 0(1310, 1302, 1310) */
		reached[0][1302] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("claiming[system:i]", ((int)now.claiming[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: windowOver[i] = 0(1310, 1303, 1310) */
		reached[0][1303] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("windowOver[system:i]", ((int)now.windowOver[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: startedBeforeAgreement = ( ((firstSent>0)) -> (1) : (startedBeforeAgreement) )(1310, 1304, 1310) */
		reached[0][1304] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.startedBeforeAgreement);
		now.startedBeforeAgreement = ( ((((int)now.firstSent)>0)) ? (1) : (((int)now.startedBeforeAgreement)) );
#ifdef VAR_RANGES
		logval("startedBeforeAgreement", ((int)now.startedBeforeAgreement));
#endif
		;
		/* merge: i = 0(1310, 1305, 1310) */
		reached[0][1305] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("system:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 262: // STATE 1307 - admission.pml:341 - [(((((!(foreign[1])&&!(known[1]))&&!(claiming[1]))&&changed)&&(firstSent==2)))] (1310:0:1 - 1)
		IfNotBlocked
		reached[0][1307] = 1;
		if (!((((( !(((int)now.foreign[1]))&& !(((int)now.known[1])))&& !(((int)now.claiming[1])))&&((int)now.changed))&&(((int)now.firstSent)==2))))
			continue;
		/* merge: foreign[1] = 1(0, 1308, 1310) */
		reached[0][1308] = 1;
		(trpt+1)->bup.oval = ((int)now.foreign[1]);
		now.foreign[1] = 1;
#ifdef VAR_RANGES
		logval("foreign[1]", ((int)now.foreign[1]));
#endif
		;
		/* merge: .(goto)(0, 1311, 1310) */
		reached[0][1311] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 263: // STATE 1313 - admission.pml:343 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1313] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

