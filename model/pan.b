	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC system */
	case 3: // STATE 14
		sv_restor();
		goto R999;
;
		;
		
	case 5: // STATE 16
		;
		((P0 *)_this)->e = trpt->bup.oval;
		;
		goto R999;

	case 6: // STATE 17
		;
		((P0 *)_this)->e = trpt->bup.oval;
		;
		goto R999;

	case 7: // STATE 21
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 8: // STATE 23
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 9: // STATE 25
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 10: // STATE 36
		;
		now.firstSent = trpt->bup.ovals[8];
		now.packet[ Index(((P0 *)_this)->s, 3) ].hops = trpt->bup.ovals[7];
		now.packet[ Index(((P0 *)_this)->s, 3) ].returning = trpt->bup.ovals[6];
		now.packet[ Index(((P0 *)_this)->s, 3) ].claimant = trpt->bup.ovals[5];
		now.packet[ Index(((P0 *)_this)->s, 3) ].at = trpt->bup.ovals[4];
		now.packet[ Index(((P0 *)_this)->s, 3) ].position = trpt->bup.ovals[3];
		now.packet[ Index(((P0 *)_this)->s, 3) ].view = trpt->bup.ovals[2];
		now.packet[ Index(((P0 *)_this)->s, 3) ].first = trpt->bup.ovals[1];
		now.packet[ Index(((P0 *)_this)->s, 3) ].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 11: // STATE 45
		;
		((P0 *)_this)->s = trpt->bup.ovals[2];
		((P0 *)_this)->e = trpt->bup.ovals[1];
		now.startedBeforeAgreement = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 12: // STATE 45
		;
		((P0 *)_this)->s = trpt->bup.ovals[1];
		((P0 *)_this)->e = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 13: // STATE 45
		;
		((P0 *)_this)->s = trpt->bup.ovals[1];
		((P0 *)_this)->e = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 15: // STATE 48
		;
		((P0 *)_this)->e = trpt->bup.oval;
		;
		goto R999;

	case 16: // STATE 49
		;
		((P0 *)_this)->e = trpt->bup.oval;
		;
		goto R999;

	case 17: // STATE 53
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 18: // STATE 55
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 19: // STATE 57
		;
		((P0 *)_this)->s = trpt->bup.oval;
		;
		goto R999;

	case 20: // STATE 71
		;
		((P0 *)_this)->s = trpt->bup.ovals[10];
		((P0 *)_this)->e = trpt->bup.ovals[9];
		now.laterSent = trpt->bup.ovals[8];
		now.packet[ Index(((P0 *)_this)->s, 3) ].hops = trpt->bup.ovals[7];
		now.packet[ Index(((P0 *)_this)->s, 3) ].returning = trpt->bup.ovals[6];
		now.packet[ Index(((P0 *)_this)->s, 3) ].claimant = trpt->bup.ovals[5];
		now.packet[ Index(((P0 *)_this)->s, 3) ].at = trpt->bup.ovals[4];
		now.packet[ Index(((P0 *)_this)->s, 3) ].position = trpt->bup.ovals[3];
		now.packet[ Index(((P0 *)_this)->s, 3) ].view = trpt->bup.ovals[2];
		now.packet[ Index(((P0 *)_this)->s, 3) ].first = trpt->bup.ovals[1];
		now.packet[ Index(((P0 *)_this)->s, 3) ].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;
;
		;
		
	case 22: // STATE 74
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 23: // STATE 75
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 24: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 25: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 26: // STATE 85
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 27: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 29: // STATE 96
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 30: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 32: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 33: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[0].returning = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		;
		;
		
	case 37: // STATE 131
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 38: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 39: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 41: // STATE 156
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 42: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 43: // STATE 168
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 45: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 46: // STATE 180
		;
		now.packet[0].hops = trpt->bup.oval;
		;
		goto R999;

	case 47: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 48: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].returning = trpt->bup.ovals[1];
		now.packet[0].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 49: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 50: // STATE 207
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 51: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 53: // STATE 224
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 54: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 55: // STATE 237
		;
		now.packet[0].claimant = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 57: // STATE 244
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 58: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 60: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 61: // STATE 267
		;
		now.packet[0].hops = trpt->bup.oval;
		;
		goto R999;

	case 62: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 63: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].returning = trpt->bup.ovals[1];
		now.packet[0].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 64: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 66: // STATE 298
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.refusalSent = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 67: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 68: // STATE 309
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 69: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 70: // STATE 320
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 72: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 73: // STATE 332
		;
		now.packet[0].hops = trpt->bup.oval;
		;
		goto R999;

	case 74: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 75: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].returning = trpt->bup.ovals[1];
		now.packet[0].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 76: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		;
		;
		
	case 79: // STATE 368
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 80: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 82: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 83: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[0].returning = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		
	case 86: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 87: // STATE 408
		;
		now.packet[0].hops = trpt->bup.oval;
		;
		goto R999;

	case 88: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].at = trpt->bup.ovals[1];
		now.packet[0].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 89: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[0].returning = trpt->bup.ovals[1];
		now.packet[0].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 90: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		
	case 91: // STATE 434
		goto R999;

	case 92: // STATE 453
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 94: // STATE 457
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 95: // STATE 458
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 96: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 97: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 98: // STATE 468
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 99: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 101: // STATE 479
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 102: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 104: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 105: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[1].returning = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		;
		;
		
	case 109: // STATE 514
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 110: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 111: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 113: // STATE 539
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 114: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 115: // STATE 551
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 117: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 118: // STATE 563
		;
		now.packet[1].hops = trpt->bup.oval;
		;
		goto R999;

	case 119: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 120: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].returning = trpt->bup.ovals[1];
		now.packet[1].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 121: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 122: // STATE 590
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 123: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 125: // STATE 607
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 126: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 127: // STATE 620
		;
		now.packet[1].claimant = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 129: // STATE 627
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 130: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 132: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 133: // STATE 650
		;
		now.packet[1].hops = trpt->bup.oval;
		;
		goto R999;

	case 134: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 135: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].returning = trpt->bup.ovals[1];
		now.packet[1].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 136: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 138: // STATE 681
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.refusalSent = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 139: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 140: // STATE 692
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 141: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 142: // STATE 703
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 144: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 145: // STATE 715
		;
		now.packet[1].hops = trpt->bup.oval;
		;
		goto R999;

	case 146: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 147: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].returning = trpt->bup.ovals[1];
		now.packet[1].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 148: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		;
		;
		
	case 151: // STATE 751
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 152: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 154: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 155: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[1].returning = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		
	case 158: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 159: // STATE 791
		;
		now.packet[1].hops = trpt->bup.oval;
		;
		goto R999;

	case 160: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].at = trpt->bup.ovals[1];
		now.packet[1].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 161: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[1].returning = trpt->bup.ovals[1];
		now.packet[1].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 162: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		
	case 163: // STATE 817
		goto R999;

	case 164: // STATE 836
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 166: // STATE 840
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 167: // STATE 841
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 168: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 169: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 170: // STATE 851
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 171: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 173: // STATE 862
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 174: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 176: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 177: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[2].returning = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		;
		;
		
	case 181: // STATE 897
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 182: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 183: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 185: // STATE 922
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 186: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 187: // STATE 934
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 189: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 190: // STATE 946
		;
		now.packet[2].hops = trpt->bup.oval;
		;
		goto R999;

	case 191: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 192: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].returning = trpt->bup.ovals[1];
		now.packet[2].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 193: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 194: // STATE 973
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 195: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 197: // STATE 990
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 198: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 199: // STATE 1003
		;
		now.packet[2].claimant = trpt->bup.ovals[1];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 201: // STATE 1010
		;
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.establishedOnce = trpt->bup.ovals[1];
		now.known[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 202: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 204: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 205: // STATE 1033
		;
		now.packet[2].hops = trpt->bup.oval;
		;
		goto R999;

	case 206: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 207: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].returning = trpt->bup.ovals[1];
		now.packet[2].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 208: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 210: // STATE 1064
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.refusalSent = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 211: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 212: // STATE 1075
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 213: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 214: // STATE 1086
		;
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 216: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 217: // STATE 1098
		;
		now.packet[2].hops = trpt->bup.oval;
		;
		goto R999;

	case 218: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 219: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].returning = trpt->bup.ovals[1];
		now.packet[2].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 220: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		;
		;
		
	case 223: // STATE 1134
		;
	/* 0 */	((P0 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 224: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 226: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 227: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.packet[2].returning = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].hops = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		;
		;
		
	case 230: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 231: // STATE 1174
		;
		now.packet[2].hops = trpt->bup.oval;
		;
		goto R999;

	case 232: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].at = trpt->bup.ovals[1];
		now.packet[2].position = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 233: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.packet[2].returning = trpt->bup.ovals[1];
		now.packet[2].at = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 234: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		
	case 235: // STATE 1200
		goto R999;

	case 236: // STATE 1219
		;
		((P0 *)_this)->i = trpt->bup.ovals[8];
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;
;
		;
		
	case 238: // STATE 1230
		;
		now.packet[0].hops = trpt->bup.ovals[7];
		now.packet[0].returning = trpt->bup.ovals[6];
		now.packet[0].claimant = trpt->bup.ovals[5];
		now.packet[0].position = trpt->bup.ovals[4];
		now.packet[0].at = trpt->bup.ovals[3];
		now.packet[0].view = trpt->bup.ovals[2];
		now.packet[0].first = trpt->bup.ovals[1];
		now.packet[0].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;
;
		;
		
	case 240: // STATE 1241
		;
		now.packet[1].hops = trpt->bup.ovals[7];
		now.packet[1].returning = trpt->bup.ovals[6];
		now.packet[1].claimant = trpt->bup.ovals[5];
		now.packet[1].position = trpt->bup.ovals[4];
		now.packet[1].at = trpt->bup.ovals[3];
		now.packet[1].view = trpt->bup.ovals[2];
		now.packet[1].first = trpt->bup.ovals[1];
		now.packet[1].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;
;
		;
		
	case 242: // STATE 1252
		;
		now.packet[2].hops = trpt->bup.ovals[7];
		now.packet[2].returning = trpt->bup.ovals[6];
		now.packet[2].claimant = trpt->bup.ovals[5];
		now.packet[2].position = trpt->bup.ovals[4];
		now.packet[2].at = trpt->bup.ovals[3];
		now.packet[2].view = trpt->bup.ovals[2];
		now.packet[2].first = trpt->bup.ovals[1];
		now.packet[2].used = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 243: // STATE 1256
		;
		now.changed = trpt->bup.oval;
		;
		goto R999;

	case 244: // STATE 1259
		;
		now.entryView[0] = trpt->bup.oval;
		;
		goto R999;

	case 245: // STATE 1262
		;
		now.entryView[1] = trpt->bup.oval;
		;
		goto R999;

	case 246: // STATE 1266
		;
		now.windowOver[0] = trpt->bup.ovals[1];
		now.agentView[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 247: // STATE 1270
		;
		now.windowOver[1] = trpt->bup.ovals[1];
		now.agentView[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 248: // STATE 1273
		;
		now.windowOver[0] = trpt->bup.oval;
		;
		goto R999;

	case 249: // STATE 1276
		;
		now.windowOver[1] = trpt->bup.oval;
		;
		goto R999;

	case 250: // STATE 1279
		;
		now.windowOver[2] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 252: // STATE 1289
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.flips = trpt->bup.ovals[2];
		now.willing[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 253: // STATE 1289
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.flips = trpt->bup.ovals[2];
		now.willing[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 254: // STATE 1289
		;
		((P0 *)_this)->i = trpt->bup.ovals[3];
		now.flips = trpt->bup.ovals[2];
		now.willing[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 255: // STATE 1289
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.flips = trpt->bup.ovals[1];
		now.willing[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 256: // STATE 1292
		;
		now.draining[0] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 258: // STATE 1305
		;
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.startedBeforeAgreement = trpt->bup.ovals[5];
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[4];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.restarted = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 259: // STATE 1305
		;
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.startedBeforeAgreement = trpt->bup.ovals[5];
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[4];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.restarted = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 260: // STATE 1305
		;
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.startedBeforeAgreement = trpt->bup.ovals[5];
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[4];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.restarted = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 261: // STATE 1305
		;
		((P0 *)_this)->i = trpt->bup.ovals[5];
		now.startedBeforeAgreement = trpt->bup.ovals[4];
		now.windowOver[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.claiming[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.note[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.restarted = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 262: // STATE 1308
		;
		now.foreign[1] = trpt->bup.oval;
		;
		goto R999;

	case 263: // STATE 1313
		;
		p_restor(II);
		;
		;
		goto R999;
	}

