/* A target that lives is never declared dead (docs/design/silent_targets.md).
 *
 * One daemon, one target that lives, and callers that repeat the data of a
 * request until it is acknowledged. Packets wait in the daemon's socket and are
 * handled in batches; a caller whose packet waits repeats its data. Of the
 * packets to the target, at most two in a row are lost, and of those of a flow,
 * at most two in a row; the loss of the acknowledgement counts as that of the
 * packet. The acknowledgement of a packet that arrives reaches the caller
 * before it repeats its data after that. Answers come at any later time.
 *
 * Assertion: neither the rule of one flow nor that of several flows holds.
 *
 * Rules that a variant leaves out:
 *   TWO_OF_FLOW     three copies of one flow are needed
 *   TWO_OF_TARGET   three copies of several flows are needed
 *   ANY_ORDER       those were sent one directly after the other
 *   NO_INTERVAL     copies that are handled together count as one
 *   KEEP_EVIDENCE   a sign of life drops the evidence
 *   ONLY_COPIES     the order includes packets that are no copies
 *   UNSEEN_COPIES   only copies that this daemon forwarded count
 */
#define FLOWS 3
#define LOG 6
#define REQUESTS 2
#define BATCH 3
#define OTHER (FLOWS + 1)

#ifdef TWO_OF_FLOW
#define OF_FLOW 2
#else
#define OF_FLOW 3
#endif
#ifdef TWO_OF_TARGET
#define OF_TARGET 2
#else
#define OF_TARGET 3
#endif

/* The packets that the daemon forwarded, in order: flow + 1 for a copy, and
 * whether it is known to be unanswered; OTHER for other packets. */
byte logged[LOG];
bool unanswered[LOG];
byte length = 0;

byte requests[FLOWS];     /* begun by each flow */
bool waiting[FLOWS];      /* for the acknowledgement of its data */
bool at_work[FLOWS];      /* at the target, which has acknowledged the data */
bool seen[FLOWS];         /* the daemon forwarded a copy of the request */
bool in_batch[FLOWS];     /* and did so in this batch */
bool arrived[FLOWS];      /* a copy of this batch reached the target */
byte lost_of_flow[FLOWS];
byte lost_in_a_row = 0;

inline clear(n)
{
    do
    :: n < LOG -> logged[n] = 0; unanswered[n] = false; n++
    :: else -> break
    od
}

inline sign_of_life()
{
#ifdef KEEP_EVIDENCE
    skip
#else
    i = 0; clear(i); length = 0
#endif
}

/* Marks the last copy of flow f as unanswered and checks the rules. */
inline judge(f)
{
    i = length;
    do
    :: i > 0 && logged[i - 1] == f + 1 -> unanswered[i - 1] = true; break
    :: i > 0 && logged[i - 1] != f + 1 -> i--
    :: i == 0 -> break
    od;
    count = 0; in_order = 0; total = 0; several = false; dead = false;
    i = 0;
    do
    :: i < length ->
        if
        :: unanswered[i] ->
            several = several || (total > 0 && logged[i] != last);
#ifndef ANY_ORDER
            several = several && in_order > 0;
#endif
            in_order++; total++; last = logged[i];
            if :: last == f + 1 -> count++ :: else fi
        :: else ->
#ifndef ANY_ORDER
            in_order = 0
#endif
        fi;
        dead = dead || (in_order >= OF_TARGET && several);
        i++
    :: else -> break
    od;
    dead = dead || count >= OF_FLOW;
    assert(!dead);
    i = 0; count = 0; in_order = 0; total = 0; several = false; last = 0
}

inline append(f)
{
    if
    :: length == LOG ->
        i = 1;
        do
        :: i < LOG ->
            logged[i - 1] = logged[i]; unanswered[i - 1] = unanswered[i]; i++
        :: else -> break
        od;
        length--
    :: else
    fi;
    logged[length] = f + 1; unanswered[length] = false; length++
}

/* The daemon handles a packet with the data of flow f. */
inline handle(f)
{
#ifdef NO_INTERVAL
    if
    :: seen[f] -> judge(f)
    :: else
    fi;
    append(f);
#else
    if
    :: seen[f] && !in_batch[f] -> judge(f); append(f)
    :: !seen[f] -> append(f)
#ifdef ONLY_COPIES
    :: seen[f] && in_batch[f] -> skip
#else
    :: seen[f] && in_batch[f] -> append(OTHER - 1)
#endif
    fi;
#endif
    seen[f] = true; in_batch[f] = true;
    if
    :: lost_in_a_row < 2 && lost_of_flow[f] < 2 ->
        lost_in_a_row++; lost_of_flow[f]++
    :: lost_in_a_row = 0; lost_of_flow[f] = 0; arrived[f] = true
    fi
}

active proctype world()
{
    byte i, f, handled, count, in_order, total, last;
    bool several, dead;
    do
    :: atomic {
        /* Callers begin requests, some of them through another daemon. */
        f = 0;
        do
        :: f < FLOWS ->
            if
            :: !waiting[f] && !at_work[f] && requests[f] < REQUESTS ->
                waiting[f] = true; requests[f]++; seen[f] = false
#ifdef UNSEEN_COPIES
            /* The copies before went through a daemon that was cut off. */
            :: !waiting[f] && !at_work[f] && requests[f] < REQUESTS ->
                waiting[f] = true; requests[f]++; seen[f] = true;
                append(f); append(f);
                unanswered[length - 2] = true;
#endif
            :: skip
            fi;
            f++
        :: else -> break
        od;
        handled = 0;
        do
        :: handled < BATCH && waiting[0] -> handle(0); handled++
        :: handled < BATCH && waiting[1] -> handle(1); handled++
        :: handled < BATCH && waiting[2] -> handle(2); handled++
        :: break
        od;
        f = 0;
        do
        :: f < FLOWS ->
            if
            :: waiting[f] && arrived[f] ->
                waiting[f] = false; at_work[f] = true
            :: else
            fi;
            arrived[f] = false; in_batch[f] = false; f++
        :: else -> break
        od;
        f = 0;
        do
        :: f < FLOWS ->
            if
            :: at_work[f] -> at_work[f] = false; sign_of_life()
            :: skip
            fi;
            f++
        :: else -> break
        od;
        f = 0; i = 0; handled = 0
    }
    od
}
