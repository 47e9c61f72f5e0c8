/*
 * The search of an entry for the owner of one flow (section "Searches" of docs/division.md).
 *
 * The targets of a service are in a list whose indices change when the list does. The third target joins late. Machines
 * fall silent for a time or vanish, agents restart beside their targets, and one power loss restarts every machine that
 * has not vanished. The entry queries all agents, follows their replies and resets the caller when it takes the flow for
 * lost. Replies may overtake each other and may be lost.
 *
 * KIND 0: an open flow is never reset. KIND 1: the caller of a lost flow is reset in the end.
 * SCENARIO 0: any fault may happen. SCENARIO 1: the power loss comes first.
 */

#define TARGETS 3
#define NONE 9

/* State of a machine. */
#define UP 0
#define SILENT 1      /* frozen or cut off; the target keeps its flows */
#define GONE 2        /* vanished with its flows */

byte machine[TARGETS];
bit knowsFlows[TARGETS];       /* the agent knows every flow of its target */
bit restarted[TARGETS];        /* the machine restarted, so that no older flow is open there */
byte owner = NONE;             /* target that holds the flow */

/* The entry. */
byte position[TARGETS];        /* index of a target in the list, or NONE */
byte listed = 0;
bit replied[TARGETS];          /* by index: the target does not hold the flow */
bit possible[TARGETS];         /* by index: the target may hold it, and was sent the segment */
bit reported[TARGETS];         /* the target's load was reported since the entry started */
bit ended[TARGETS];            /* the target announced its end */
bit viewComplete = 0;
bit searching = 0;
bit lost = 0;                  /* remembered verdict */
bit wasReset = 0;
byte events = 0;               /* faults so far */

#define MAXIMUM_EVENTS 4

/* Replies in flight: 0 none, 1 not held, 2 possibly held. */
byte reply[TARGETS];

inline list_target(t) {
    position[t] = listed;
    replied[listed] = 0;
    possible[listed] = 0;
    listed++
}

/* A target leaves the list; the indices behind it decrease by one. */
inline unlist_target(t) {
    i = position[t];
    position[t] = NONE;
    listed--;
    j = 0;
    do
    :: j < TARGETS ->
        if
        :: position[j] != NONE && position[j] > i -> position[j]--
        :: else -> skip
        fi;
        j++
    :: else -> break
    od;
#ifndef MUTANT_KEEP_INDICES
    do
    :: i < TARGETS - 1 ->
        replied[i] = replied[i + 1];
        possible[i] = possible[i + 1];
        i++
    :: else -> break
    od;
    replied[TARGETS - 1] = 0;
    possible[TARGETS - 1] = 0;
#endif
    i = 0;
    j = 0
}

/* Silence that lasts longer than any outage, or that follows a power loss. A vanished machine stays silent. */
#ifdef MUTANT_SHORT_TIMEOUT
#define IS_GONE(t) (machine[t] != UP)
#else
#ifdef MUTANT_ONE_RESTART
#define POWER_LOST (restarted[0] || restarted[1] || restarted[2])
#else
#define POWER_LOST (powerLost == 1)
#endif
#ifdef MUTANT_WAIT_FOR_VANISHED
#define IS_GONE(t) false
#else
#define IS_GONE(t) (machine[t] == GONE || (machine[t] == SILENT && !reported[t] && POWER_LOST))
#endif
#endif

#define IS_OUT(t) (position[t] == NONE || replied[position[t]] || ended[t] || IS_GONE(t))

bit powerLost = 0;

active proctype system() {
    byte i = 0;
    byte j = 0;
    atomic {
        position[2] = NONE;
        list_target(0);
        list_target(1);
        knowsFlows[0] = 1;
        knowsFlows[1] = 1;
        knowsFlows[2] = 1;
        if
        :: owner = 0
        :: owner = 1
        :: owner = 2
        fi;
#if SCENARIO == 1
        powerLost = 1;
        owner = NONE;
        restarted[0] = 1;
        restarted[1] = 1;
        restarted[2] = 1;
#endif
    }
    do
    /* ---- faults ---- */
    :: atomic { events < MAXIMUM_EVENTS && machine[0] == UP && (reported[0] || !powerLost) -> events++; machine[0] = SILENT }
    :: atomic { events < MAXIMUM_EVENTS && machine[1] == UP && (reported[1] || !powerLost) -> events++; machine[1] = SILENT }
    :: atomic { machine[0] == SILENT -> machine[0] = UP }
    :: atomic { machine[1] == SILENT -> machine[1] = UP }
    :: atomic { events < MAXIMUM_EVENTS && machine[1] != GONE ->
        events++;
        machine[1] = GONE;
        reply[1] = 0;
        if
        :: owner == 1 -> owner = NONE
        :: else -> skip
        fi }
    /* An agent restarts beside its target. */
    :: atomic { events < MAXIMUM_EVENTS && machine[0] == UP -> events++; knowsFlows[0] = 0 }
    /* One machine restarts. */
    :: atomic { events < MAXIMUM_EVENTS && machine[1] == UP ->
        events++;
        restarted[1] = 1;
        knowsFlows[1] = 1;
        if
        :: owner == 1 -> owner = NONE
        :: else -> skip
        fi }
#if SCENARIO == 0
    :: atomic { events < MAXIMUM_EVENTS && !powerLost ->
        events++;
        powerLost = 1;
        owner = NONE;
        restarted[0] = 1;
        restarted[1] = 1;
        restarted[2] = 1;
        knowsFlows[0] = 1;
        knowsFlows[1] = 1;
        knowsFlows[2] = 1;
        reported[0] = 0;
        reported[1] = 0;
        reported[2] = 0 }
#endif
    /* The target of the second machine ends, and its agent's last report says so. */
    :: atomic { events < MAXIMUM_EVENTS && machine[1] == UP && owner != 1 -> events++; ended[1] = 1 }
    /* ---- the caller ---- */
    :: atomic { !searching && !lost && owner != NONE -> searching = 1 }
    :: atomic { !searching && !lost && owner == NONE && !wasReset -> searching = 1 }
    /* A new flow with the same endpoints opens at the first target. */
    :: atomic { events < MAXIMUM_EVENTS && owner == NONE && lost && machine[0] == UP ->
        events++;
        owner = 0;
#ifndef MUTANT_KEEP_VERDICT
        lost = 0;
#endif
        searching = 0;
        replied[0] = 0;
        replied[1] = 0;
        replied[2] = 0;
        possible[0] = 0;
        possible[1] = 0;
        possible[2] = 0;
        reply[0] = 0;
        reply[1] = 0;
        reply[2] = 0 }
    /* The caller sends on; the remembered verdict answers. */
    :: atomic { lost && owner != NONE -> assert(KIND != 0) }
    /* ---- views ---- */
    :: atomic { position[2] == NONE && !viewComplete -> list_target(2); viewComplete = 1 }
    :: atomic { machine[1] == GONE && ended[1] && position[1] != NONE && viewComplete -> unlist_target(1) }
    /* ---- load reports ---- */
    :: atomic { machine[0] == UP && !reported[0] -> reported[0] = 1 }
    :: atomic { machine[1] == UP && !reported[1] -> reported[1] = 1 }
    :: atomic { machine[2] == UP && !reported[2] -> reported[2] = 1 }
    /* ---- replies ---- */
    :: atomic { searching && !lost && machine[0] == UP && reply[0] == 0 && position[0] != NONE && !replied[position[0]] ->
        if
        :: owner == 0 -> reply[0] = 2
#ifdef MUTANT_RESTARTED_DENIES
        :: owner == 0 && !knowsFlows[0] -> reply[0] = 1
#endif
        :: owner != 0 -> reply[0] = 1
        fi }
    :: atomic { searching && !lost && machine[1] == UP && reply[1] == 0 && position[1] != NONE && !replied[position[1]] ->
        reply[1] = (owner == 1 -> 2 : 1) }
    :: atomic { searching && !lost && machine[2] == UP && reply[2] == 0 && position[2] != NONE && !replied[position[2]] ->
        reply[2] = (owner == 2 -> 2 : 1) }
    /* A reply arrives, or is lost and the agent is queried again. */
    :: atomic { reply[0] == 1 && position[0] != NONE -> replied[position[0]] = 1; reply[0] = 0 }
    :: atomic { reply[1] == 1 && position[1] != NONE -> replied[position[1]] = 1; reply[1] = 0 }
    :: atomic { reply[2] == 1 && position[2] != NONE -> replied[position[2]] = 1; reply[2] = 0 }
    :: atomic { reply[0] == 2 && searching && !lost && position[0] != NONE -> possible[position[0]] = 1; reply[0] = 0; searching = 0 }
    :: atomic { reply[1] == 2 && searching && !lost && position[1] != NONE -> possible[position[1]] = 1; reply[1] = 0; searching = 0 }
    :: atomic { reply[2] == 2 && searching && !lost && position[2] != NONE -> possible[position[2]] = 1; reply[2] = 0; searching = 0 }
    :: atomic { reply[1] != 0 && position[1] == NONE -> reply[1] = 0 }
    /* ---- the verdict ---- */
#ifdef MUTANT_INCOMPLETE_VIEW
    :: atomic { searching && !lost && IS_OUT(0) && IS_OUT(1) && IS_OUT(2) ->
#else
    :: atomic { searching && !lost && viewComplete && IS_OUT(0) && IS_OUT(1) && IS_OUT(2) ->
#endif
        lost = 1;
        wasReset = 1;
        assert(KIND != 0 || owner == NONE) }
    :: timeout -> break
    od;
#if KIND == 1
    assert(owner != NONE || wasReset)
#endif
}
