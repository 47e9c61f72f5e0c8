/*
 * Admission of one flow at the agents of a service (rules A1 to A10 of docs/design.md). The inlines have the names
 * of the functions of src/agent that they describe.
 *
 * Three agents, two entries that learn of a membership change at different times, copies of the first packet that
 * are duplicated, delayed, reordered and lost, later packets, changing willingness, a drain, an agent restart, and an
 * instance whose endpoint is reused by another service.
 *
 * SCENARIO selects the change: 0 join (agent 2 ranks first), 1 reweight (agents 0 and 1 swap ranks), 2 evacuation and
 * restoration of the data centre of agent 0. Any entry may not have received the evacuation, and sends to agent 0.
 * KIND selects the service: 0 TCP, 1 non-idempotent UDP (strict: the first packet is the request, always admitted by a
 * claim and never refused, because a copy may be under way), 2 idempotent UDP.
 * A MUTANT_* macro removes one rule; the check must then fail.
 */

#ifndef SCENARIO
#define SCENARIO 0
#endif
#ifndef KIND
#define KIND 0
#endif
#define STRICT (KIND == 1)
#define REFUSAL_HOLDS (KIND != 0)  /* a TCP caller that was refused ignores what comes later */

#define AGENTS 3
#define SLOTS 2          /* packets under way at once */
#define FIRST_COPIES 2   /* copies of the first packet that the caller or the network makes */
#define LATER_COPIES 1
#define FLIPS 2          /* changes of willingness */
#define HOP_LIMIT 9

/* Notes: 0 to 2 point to an agent; a note that points to its own agent is a claim. */
#define NONE 7
#define REFUSED 6
#define ORPHANED 5

#define OLD 0
#define NEW 1

typedef Packet {
    bit used;
    bit first;
    bit final;           /* last copy, alone in the system: P5 */
    bit view;            /* list and fingerprint that the packet carries */
    byte at;             /* agent it is on the way to */
    byte position;       /* index in the list */
    byte claimant;
    bit returning;
    byte hops
};

Packet packet[SLOTS];

bit entryView[2];
bit agentView[AGENTS];
bit windowOver[AGENTS];  /* settle and memory window have ended since the last change or start */
bit fresh[AGENTS];       /* restarted while copies may still be under way */
bit known[AGENTS];       /* flow table */
byte note[AGENTS];
bit willing[AGENTS];
bit draining[AGENTS];
bit foreign[AGENTS];     /* the endpoint now belongs to a target of another service */
bit restarted;
bit changed;             /* the membership change has happened */
byte firstSent;
byte laterSent;
byte flips;
bit finalSent;
bit startedBefore;       /* the flow began before the views agreed, or before the restart */
bit refusalSent;
bit admitted;            /* some target took the flow */
#if SCENARIO == 2
bit evacuated;           /* agent 0 knows that its data centre is evacuated */
bit beganEvacuated;      /* the flow began after agent 0 had learned of the evacuation in force */
byte evacuationSteps;
#endif

#define ENTRIES_NEW (entryView[0] == NEW && entryView[1] == NEW)
#define AGENTS_NEW (agentView[0] == NEW && agentView[1] == NEW)
#define AGREED (!changed || (ENTRIES_NEW && AGENTS_NEW))
#define NO_PACKETS (!packet[0].used && !packet[1].used)
#define KNOWN (known[0] || known[1] || known[2])

/* The candidate list of a view. */
#if SCENARIO == 0
#define LENGTH(v) (v == OLD -> 2 : 3)
#define CANDIDATE(v, p) (v == OLD -> (p == 0 -> 0 : 1) : (p == 0 -> 2 : (p == 1 -> 0 : 1)))
#else
#define LENGTH(v) 2
#define CANDIDATE(v, p) (v == OLD -> (p == 0 -> 0 : 1) : (p == 0 -> 1 : 0))
#endif

/* A SYN is retransmitted for at most 63 s; the window of 70 s outlasts that and the spread of the view. */
#ifdef MUTANT_SHORT_WINDOW
#define WINDOW_MAY_END AGREED
#else
#define WINDOW_MAY_END (AGREED && (!startedBefore || (finalSent && NO_PACKETS)))
#endif

#ifdef MUTANT_IGNORE_FINGERPRINT
#define SETTLED(i, s) (windowOver[i])
#else
#define SETTLED(i, s) (windowOver[i] && agentView[i] == packet[s].view)
#endif

#define IN_ORDER(i, s) (packet[s].position < LENGTH(packet[s].view) && CANDIDATE(packet[s].view, packet[s].position) == i)

/* Index of an agent in the packet's list; the list's length if it is not there. */
#define OWN(i, s) (CANDIDATE(packet[s].view, 0) == i -> 0 : (CANDIDATE(packet[s].view, 1) == i -> 1 : (LENGTH(packet[s].view) > 2 && i == 1 -> 2 : LENGTH(packet[s].view))))

#if SCENARIO == 2 && !defined(MUTANT_EVACUATED_TAKES)
#define TAKES(i) (willing[i] && !draining[i] && !(i == 0 && evacuated))
#else
#define TAKES(i) (willing[i] && !draining[i])
#endif

/* A restart forgot which datagrams this agent refused: it takes none and answers no probe until copies are gone. */
#ifdef MUTANT_FRESH_TAKES
#define MAY_HAVE_REFUSED(i) (0)
#else
#define MAY_HAVE_REFUSED(i) (KIND == 2 && fresh[i])
#endif

#ifdef MUTANT_STRICT_REFUSES
#define MAY_REFUSE 1
#else
#define MAY_REFUSE (!STRICT)
#endif

inline free(s) {
    packet[s].used = 0; packet[s].first = 0; packet[s].final = 0; packet[s].view = 0; packet[s].at = 0;
    packet[s].position = 0; packet[s].claimant = NONE; packet[s].returning = 0; packet[s].hops = 0
}

/* P5: the last copy, alone and not lost, is not dropped because of notes and claims that earlier copies left. */
inline discard(s) {
    assert(!packet[s].final);
    free(s)
}

inline admit(i, s) {
    /* P1: a flow is never open at two targets. */
    assert(!KNOWN);
    /* P2: what was refused as "not run" does not run later. For TCP the caller's own state machine sees to that. */
    assert(!(REFUSAL_HOLDS && refusalSent));
#if SCENARIO == 2
    /* P6: a flow that began after the agent learned of the evacuation does not open there while it lasts. */
    assert(!(i == 0 && beganEvacuated));
#endif
    known[i] = 1;
    admitted = 1;
    note[i] = NONE;
    free(s)
}

inline refuse(i, s) {
    assert(!(REFUSAL_HOLDS && (admitted || KNOWN)));
    refusalSent = 1;
#ifndef MUTANT_NO_REFUSED_NOTE
    note[i] = REFUSED;
#endif
    free(s)
}

inline returnProbe(i, s) {
    if
    :: packet[s].claimant == i -> admit(i, s)
    :: else ->
        packet[s].hops = packet[s].hops + 1;
        packet[s].at = packet[s].claimant;
        packet[s].returning = 1
    fi
}

/* Sends a probe to the next candidate after `from` that is neither this agent nor the claimant. */
inline probeNext(i, s, from) {
    next = from;
    do
    :: next < LENGTH(packet[s].view) && (CANDIDATE(packet[s].view, next) == i || CANDIDATE(packet[s].view, next) == packet[s].claimant) -> next = next + 1
    :: else -> break
    od;
    if
    :: packet[s].hops >= HOP_LIMIT -> free(s)
    :: packet[s].hops < HOP_LIMIT && next < LENGTH(packet[s].view) ->
        packet[s].hops = packet[s].hops + 1;
        packet[s].position = next;
        packet[s].at = CANDIDATE(packet[s].view, next)
    :: packet[s].hops < HOP_LIMIT && next >= LENGTH(packet[s].view) -> returnProbe(i, s)
    fi
}

inline claim(i, s) {
#ifdef MUTANT_NO_PROBE
    admit(i, s)
#else
    from = 0;
    if
    :: IN_ORDER(i, s) -> from = packet[s].position + 1
    :: else -> skip
    fi;
#ifndef MUTANT_PROBE_PACKET_LIST
    /* addOwnView: a stale entry's list lacks members that this agent knows. The new view contains the old one; its
       order differs, so that the probe starts at the front. */
    if
    :: agentView[i] == NEW && packet[s].view == OLD ->
        packet[s].view = NEW;
#ifndef MUTANT_PROBE_REST_ONLY
        from = 0;
#endif
        skip
    :: else -> skip
    fi;
#endif
    packet[s].claimant = i;
    packet[s].returning = 0;
    note[i] = i;
    probeNext(i, s, from)
#endif
}

inline hunt(i, s) {
    if
    :: OWN(i, s) + 1 >= LENGTH(packet[s].view) ->
        if
        :: SETTLED(i, s) && !gap && MAY_REFUSE -> refuse(i, s)
        :: else -> free(s)
        fi
    :: else ->
#ifndef MUTANT_NO_PASS_NOTE
        note[i] = CANDIDATE(packet[s].view, OWN(i, s) + 1);
#endif
        packet[s].hops = packet[s].hops + 1;
        packet[s].position = OWN(i, s) + 1;
        packet[s].at = CANDIDATE(packet[s].view, packet[s].position)
    fi
}

inline decideFirst(i, s) {
    if
    :: MAY_HAVE_REFUSED(i) && note[i] != i -> free(s)
#ifndef MUTANT_PASS_WHILE_CLAIMING
    /* A claim is kept even by a full or draining agent, because notes of others point here. */
    :: note[i] == i -> claim(i, s)
    :: note[i] != i && !MAY_HAVE_REFUSED(i) && !TAKES(i) -> hunt(i, s)
    :: note[i] != i && !MAY_HAVE_REFUSED(i) && TAKES(i) ->
#else
    :: !MAY_HAVE_REFUSED(i) && !TAKES(i) -> hunt(i, s)
    :: !MAY_HAVE_REFUSED(i) && TAKES(i) ->
#endif
        if
        :: SETTLED(i, s) && !STRICT && !gap && IN_ORDER(i, s) -> admit(i, s)
        :: else -> claim(i, s)
        fi
    fi
}

/* A5 at a candidate that is asked, and at the claimant when the probe returns. */
inline answerClaim(i, s) {
    if
    :: packet[s].claimant == i && packet[s].returning ->
#ifndef MUTANT_NO_CLAIM_CHECK
        if
        :: note[i] == i -> admit(i, s)
        :: else -> claim(i, s)      /* a restart forgot the claim; what happened since is not known */
        fi
#else
        admit(i, s)
#endif
    :: packet[s].claimant == i && !packet[s].returning ->
        packet[s].claimant = NONE;
        decideFirst(i, s)
#ifndef MUTANT_NO_TIE_BREAK
    /* Two claims met: the lower one goes on under its own name. */
    :: packet[s].claimant != i && note[i] == i && i < packet[s].claimant && packet[s].hops < HOP_LIMIT ->
        packet[s].at = packet[s].claimant;
        packet[s].claimant = i;
        packet[s].returning = 0;
        packet[s].hops = packet[s].hops + 1
#endif
    :: packet[s].claimant != i && MAY_HAVE_REFUSED(i) && note[i] != i -> free(s)
    :: else ->
        packet[s].returning = 0;
#ifdef MUTANT_NO_YIELD
        if
        :: note[i] == i -> skip
        :: else -> note[i] = packet[s].claimant
        fi;
#else
#ifndef MUTANT_NO_PROBE_NOTE
        note[i] = packet[s].claimant;
#endif
#endif
        from = packet[s].position + 1;
#if !defined(MUTANT_PROBE_PACKET_LIST) && !defined(MUTANT_ASKED_ADD_NOTHING)
        /* addOwnView: each agent that is asked adds the members that it knows. */
        if
        :: agentView[i] == NEW && packet[s].view == OLD -> packet[s].view = NEW; from = 0
        :: else -> skip
        fi;
#endif
        probeNext(i, s, from)
    fi
}

/* A3, A8 */
inline followNote(i, s) {
    if
    :: note[i] == REFUSED -> free(s)                  /* refused again */
    :: note[i] == ORPHANED || note[i] == packet[s].claimant ->
#ifndef MUTANT_FORGET_SETTLED
        gap = 1;
#endif
        if
        :: packet[s].claimant != NONE -> answerClaim(i, s)
        :: else -> decideFirst(i, s)
        fi
    :: else ->
        if
        :: packet[s].hops >= HOP_LIMIT ->
            /* Notes that form a loop lead to no owner; without this one the next copy gets out. */
            note[i] = ORPHANED;
            free(s)
        :: else ->
            if
            :: packet[s].claimant == i -> packet[s].claimant = NONE; packet[s].returning = 0
            :: else -> skip
            fi;
            packet[s].hops = packet[s].hops + 1;
            packet[s].at = note[i]
        fi
    fi
}

/* A7 */
inline passLater(i, s) {
    if
    :: note[i] < AGENTS && note[i] != i && packet[s].hops < HOP_LIMIT ->
        packet[s].hops = packet[s].hops + 1;
        packet[s].at = note[i]
    :: else ->
        if
        :: packet[s].position + 1 < LENGTH(packet[s].view) && packet[s].hops < HOP_LIMIT ->
            packet[s].hops = packet[s].hops + 1;
            packet[s].position = packet[s].position + 1;
            packet[s].at = CANDIDATE(packet[s].view, packet[s].position)
#ifndef MUTANT_NO_LIST_EXTENSION
        :: packet[s].position + 1 >= LENGTH(packet[s].view) && packet[s].view != agentView[i] && packet[s].hops < HOP_LIMIT ->
            packet[s].hops = packet[s].hops + 1;
            packet[s].view = agentView[i];
            packet[s].position = 0;
            packet[s].at = CANDIDATE(packet[s].view, 0)
#endif
        :: else ->
            /* P4: with equal views a flow's packets reach its owner. */
            assert(!(AGREED && KNOWN));
            free(s)
        fi
    fi
}

inline decide(s) {
    i = packet[s].at;
    gap = 0;
    if
    :: foreign[i] ->                              /* A1 */
#ifdef MUTANT_NO_SERVICE_CHECK
        /* P3: a packet never reaches a target of another service. */
        assert(0);
#endif
        free(s)
    :: !foreign[i] && known[i] -> free(s)         /* A2: delivered to the owner */
    :: !foreign[i] && !known[i] && !packet[s].first -> passLater(i, s)
    :: !foreign[i] && !known[i] && packet[s].first ->
        if
        :: note[i] != NONE && note[i] != i -> followNote(i, s)
        :: else ->
            if
            :: packet[s].claimant != NONE -> answerClaim(i, s)
            :: else -> decideFirst(i, s)
            fi
        fi
    fi;
    i = 0; from = 0; next = 0; gap = 0
}

inline send(s, isFirst) {
    packet[s].used = 1;
    packet[s].first = isFirst;
    packet[s].view = entryView[e];
    packet[s].at = CANDIDATE(entryView[e], 0);
    startedBefore = (isFirst && !(AGREED && changed) -> 1 : startedBefore);
    e = 0
}

active proctype system() {
    byte i = 0;
    byte e = 0;
    byte from = 0;
    byte next = 0;
    bit gap = 0;
    d_step {
        note[0] = NONE; note[1] = NONE; note[2] = NONE;
        windowOver[0] = 1; windowOver[1] = 1;
        willing[0] = 1; willing[1] = 1; willing[2] = 1;
        packet[0].claimant = NONE; packet[1].claimant = NONE;
        agentView[2] = NEW      /* a joining agent knows of itself */
    }
    do
    /* The fabric hands a copy of the first packet to any entry; later packets follow an admission. */
    :: atomic { firstSent < FIRST_COPIES && !packet[0].used -> select(e : 0 .. 1); firstSent = firstSent + 1; send(0, 1) }
    :: atomic { firstSent < FIRST_COPIES && packet[0].used && !packet[1].used -> select(e : 0 .. 1); firstSent = firstSent + 1; send(1, 1) }
    :: atomic { laterSent < LATER_COPIES && KNOWN && !packet[0].used -> select(e : 0 .. 1); laterSent = laterSent + 1; send(0, 0) }
    :: atomic { laterSent < LATER_COPIES && KNOWN && packet[0].used && !packet[1].used -> select(e : 0 .. 1); laterSent = laterSent + 1; send(1, 0) }
    :: atomic { !finalSent && firstSent == FIRST_COPIES && NO_PACKETS && !foreign[1] -> select(e : 0 .. 1); finalSent = 1; packet[0].final = 1; send(0, 1) }
    /* Any packet under way may arrive next, or be lost. */
    :: atomic { packet[0].used -> decide(0) }
    :: atomic { packet[1].used -> decide(1) }
    :: atomic { packet[0].used && packet[0].first && !packet[0].final -> free(0) }
    :: atomic { packet[1].used && packet[1].first -> free(1) }
#if SCENARIO == 2
    /* The operator evacuates the data centre, restores it, and evacuates it again. */
    :: atomic { evacuationSteps < 3 ->
        evacuationSteps = evacuationSteps + 1;
        evacuated = !evacuated;
        beganEvacuated = (evacuated && firstSent == 0 -> 1 : 0) }
#else
    /* The membership changes and every node learns of it on its own. */
    :: atomic { !changed -> changed = 1 }
#endif
    :: atomic { changed && entryView[0] == OLD -> entryView[0] = NEW }
    :: atomic { changed && entryView[1] == OLD -> entryView[1] = NEW }
    :: atomic { changed && agentView[0] == OLD -> agentView[0] = NEW; windowOver[0] = 0 }
    :: atomic { changed && agentView[1] == OLD -> agentView[1] = NEW; windowOver[1] = 0 }
    :: atomic { changed && !windowOver[0] && WINDOW_MAY_END -> windowOver[0] = 1; fresh[0] = 0 }
    :: atomic { changed && !windowOver[1] && WINDOW_MAY_END -> windowOver[1] = 1; fresh[1] = 0 }
    :: atomic { changed && !windowOver[2] && WINDOW_MAY_END -> windowOver[2] = 1; fresh[2] = 0 }
    /* Load and drains change what an agent takes. */
    :: atomic { flips < FLIPS -> select(i : 0 .. 2); willing[i] = !willing[i]; flips = flips + 1; i = 0 }
    :: atomic { !draining[0] -> draining[0] = 1 }
    /* An agent restarts beside its live target: the flow table is rebuilt (A10), notes and claims are gone. */
    :: atomic { !restarted ->
        select(i : 0 .. 2);
        restarted = 1;
        note[i] = NONE;
        fresh[i] = 1;
#ifndef MUTANT_RESTART_OLD_VIEW
        /* It takes first packets only once its monitors have told it their view. */
        agentView[i] = (entryView[0] == NEW || entryView[1] == NEW -> NEW : agentView[i]);
#endif
#ifdef MUTANT_RESTART_FORGETS
        known[i] = 0;
#endif
#ifdef MUTANT_RESTART_FORGETS_EVACUATION
        /* Its monitors tell a restarted agent of the evacuation before it takes first packets. */
        evacuated = (i == 0 -> 0 : evacuated);
#endif
#ifndef MUTANT_RESTART_SETTLED
        windowOver[i] = 0;
#endif
        startedBefore = (firstSent > 0 -> 1 : startedBefore);
        i = 0 }
    /* An instance without flows ends and its endpoint goes to a target of another service. */
    :: atomic { !foreign[1] && !known[1] && note[1] != 1 && changed && !finalSent && firstSent == FIRST_COPIES -> foreign[1] = 1 }
    od
}
