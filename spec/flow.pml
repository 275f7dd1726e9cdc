/* One flow reaches one service always, and one target once it is settled
 * (sections 5.2, 5.3 and 5.8).
 *
 * VMs 0, 1, 2 rank in this order for the flow's bucket. Version 1 of the set
 * binds the reference to service A, version 2 moves it to service B; VMs learn
 * of version 2 at any time. One opening packet reaches a holder; packets of the
 * opened flow reach any VM that holds the bucket in its own view, any time. VMs
 * die (at most DEATHS), pause and wake with an old view, are cut off and
 * reachable again (at most TROUBLES), and restart empty.
 *
 * Claimed always: no packet to another service. Claimed while at most one VM
 * died or was in trouble: a settled flow (its exception, if it is one, is
 * acknowledged by the standby) keeps its target or its packet is dropped.
 * In a partition a packet may be dropped; nothing is claimed about that.
 *
 * Timing assumption: a VM that is cut off or was paused finds out (1 s) before
 * others declare it dead (1.5 s after suspicion); see `declare` and `wake`.
 * A packet is decided at once, so none is under way inside a VM.
 *
 * Each macro takes a rule out:
 *  NO_FENCE        a VM that was paused or is cut off goes on as before
 *  NO_MARK_ACK     a holder opens flows under the new service before the standby
 *                  has acknowledged that the reference is mixed (section 5.2)
 *  GUESS_MIXED     a standby takes a mixed reference's flow to the base table
 *  GUESS_HISTORY   a VM without a replica follows its own base table, as
 *                  section 5.2 allows with an hour of history
 *  NO_HANDOVER_ACK a new owner decides before it has the holder's state
 *  LATE_REPLICATION a VM acknowledges replication for a bucket that it holds, or
 *                  from a VM that it has declared dead, or before it has found
 *                  out what it missed
 *  ONE_ACK         one peer's acknowledgement is enough, as section 5.3 says
 *  KEEP_REPLICA    a VM that was paused or cut off keeps what it holds of others
 *                  and follows base tables as before
 *  FORGET_INHERITED a VM that took over does not pass on the mark that it got
 *  KEEP_FORMER     a former standby need not know that a reference is mixed
 *                  (shows with two deaths)
 *  NO_REVALIDATION a VM that others declared dead, or whose bucket another VM
 *                  holds, stays holder afterwards
 */
#ifdef NO_FENCE
#define OPENS(v) true
#define FOUND_OUT(v) true
#else
#define OPENS(v) (!fenced[v])
#define FOUND_OUT(v) (fenced[v])
#endif
#ifdef LATE_REPLICATION
#define ACCEPTS(s, v) true
#else
#define ACCEPTS(s, v) (ALIVE_TO(s, v) && !holds[s] && !fenced[s])
#endif
/* w is the peer that acknowledges, for ONE_ACK. */
#ifdef ONE_ACK
#define ACKNOWLEDGED(v, w) (LINK(v, w) && !fenced[w])
#define TELLS(s, w) (s == w)
#else
#define ACKNOWLEDGED(v, w) (ANSWERS(v, (v + 1) % N) && ANSWERS(v, (v + 2) % N))
#define ANSWERS(v, w) (!ALIVE_TO(v, w) || (LINK(v, w) && !fenced[w]))
#define TELLS(s, w) true
#endif
#ifdef FORGET_INHERITED
#define MARKED(v) (newer[v])
#else
#define MARKED(v) (mixed[v] || newer[v])
#endif
#define N 3
#ifndef DEATHS
#define DEATHS 1
#endif
#ifndef TROUBLES
#define TROUBLES 1
#endif
#define NONE 0
#define SERVICE_A 1   /* at its base target */
#define SERVICE_A_X 2 /* at another target: an exception */
#define SERVICE_B 3
#define IS_B(place) ((place) == SERVICE_B)

bool up[N], paused[N], cut[N], fenced[N];
bool newer[N];        /* has version 2 in effect */
bool holds[N];
bool knows_dead[N * N];
byte record[N];
byte replica[N];      /* exception received as standby */
bool mixed[N];        /* from a holder, or seen itself */
bool has_replica[N];  /* has received the holder's replication */
byte mark_acked;      /* bit v: v acknowledged the mixed mark */
bool opened, settled;
byte placed;
byte deaths, troubles;

#define WORKS(v) (up[v] && !paused[v])
/* h has no acknowledgement of w for the mixed reference. */
#define UNMARKED(h, w) (w != h && !(mark_acked & (1 << (w))))
#ifdef KEEP_FORMER
#define FORMER_UNMARKED(h) false
#else
#define FORMER_UNMARKED(h) (GIVEN(h, (h + 1) % N) || GIVEN(h, (h + 2) % N))
#define GIVEN(h, w) (has_replica[w] && ALIVE_TO(h, w) && UNMARKED(h, w))
#endif
#define LINK(v, w) (WORKS(v) && WORKS(w) && !cut[v] && !cut[w])
#define ALIVE_TO(v, w) (v == w || !knows_dead[v * N + w])
#define FIRST(v) ((v == 0 || !ALIVE_TO(v, 0)) && \
                  (v <= 1 || !ALIVE_TO(v, 1)))

/* The first VM alive to h other than h; h if there is none. */
inline choose_standby(h)
{
    s = 0;
    do
    :: s < N && (s == h || !ALIVE_TO(h, s)) -> s++
    :: else -> break
    od;
    if :: s == N -> s = h :: else fi
}

inline deliver(v, place)
{
    /* Another service: never. */
    assert(IS_B(place) == IS_B(placed));
    /* Another target: only if the flow was not settled, or in more trouble. */
    assert(!settled || deaths + troubles > 1 || place == placed);
    record[v] = place
}

inline data_packet(v)
{
    if
    :: record[v] != NONE -> deliver(v, record[v])
    :: record[v] == NONE && replica[v] != NONE -> deliver(v, replica[v])
    :: record[v] == NONE && replica[v] == NONE ->
        if
        :: fenced[v] -> skip                      /* dropped */
#ifndef GUESS_MIXED
        :: mixed[v] || newer[v] -> skip           /* dropped */
#endif
#ifndef GUESS_HISTORY
        :: !has_replica[v] -> skip                /* dropped */
#endif
        :: else -> deliver(v, SERVICE_A)
        fi
    fi
}

inline open(h)
{
    if
    :: newer[h] -> placed = SERVICE_B
    :: !newer[h] -> placed = SERVICE_A
    :: !newer[h] -> placed = SERVICE_A_X
    fi;
    record[h] = placed; opened = true;
    /* The base table gives the target while the reference is not mixed. */
    settled = (placed == SERVICE_A)
}

/* What a holder took over it passes on: marks, and exceptions without a packet
 * so far. */
inline replicate(h, s)
{
    has_replica[s] = has_replica[h];
    mixed[s] = mixed[s] || MARKED(h);
    if
    :: MARKED(h) -> mark_acked = mark_acked | (1 << s)
    :: else
    fi;
    if
    :: record[h] != NONE && (record[h] != SERVICE_A || MARKED(h)) ->
        replica[s] = record[h]
    :: record[h] == NONE && replica[h] != NONE -> replica[s] = replica[h]
    :: else
    fi;
    settled = settled || (opened && replica[s] == placed)
}

inline hand_over(from, to)
{
    record[to] = record[from];
    if
    :: replica[from] != NONE && record[from] == NONE ->
        record[to] = replica[from]
    :: else
    fi;
    mixed[to] = MARKED(from);
    has_replica[to] = has_replica[from];
    holds[to] = true; holds[from] = false; record[from] = NONE;
    replica[from] = NONE
}

/* Meanwhile the holder may have chosen another standby, or a standby may have
 * taken over, opened flows and died. What is left are the records. */
inline drop_replica(v)
{
#ifndef KEEP_REPLICA
    has_replica[v] = false; replica[v] = NONE
#else
    skip
#endif
}

inline forget(v)
{
    holds[v] = false; record[v] = NONE; replica[v] = NONE; mixed[v] = false;
    has_replica[v] = false; newer[v] = false; fenced[v] = true;
    mark_acked = mark_acked & ~(1 << v);
    w = 0;
    do :: w < N -> knows_dead[v * N + w] = false; w++ :: else -> break od
}

active proctype world()
{
    byte v, w, s;
    d_step {
        do :: v < N -> up[v] = true; v++ :: else -> break od;
        holds[0] = true; has_replica[0] = true; has_replica[1] = true; v = 0
    }
    do
    :: atomic {
        select(v : 0 .. N - 1); select(w : 0 .. N - 1); s = 0;
        if
        /* A set takes effect. */
        :: up[v] && !paused[v] && !newer[v] -> newer[v] = true
        /* The opening packet. */
        :: WORKS(v) && holds[v] && !opened && OPENS(v) ->
            choose_standby(v);
            if
#ifndef NO_MARK_ACK
            :: newer[v] && (UNMARKED(v, s) || FORMER_UNMARKED(v)) -> skip
#endif
            :: else -> open(v)
            fi
        /* Another packet. */
        :: WORKS(v) && holds[v] && opened -> data_packet(v)
        /* Replication with its acknowledgement. */
        :: WORKS(v) && holds[v] ->
            choose_standby(v);
            if
            :: s != v && LINK(v, s) && ACCEPTS(s, v) -> replicate(v, s)
            :: else
            fi
        /* A former standby gives its replica up. */
        :: v != w && WORKS(v) && holds[v] && LINK(v, w) && !holds[w] &&
           has_replica[w] ->
            choose_standby(v);
            if :: s != w -> drop_replica(w) :: else fi
        /* Planned change of owner: claim, handover, acknowledgement. */
        :: v != w && holds[v] && !holds[w] && LINK(v, w) && FIRST(w) &&
           newer[v] == newer[w] && !fenced[v] && !fenced[w] && w < v ->
            hand_over(v, w)
#ifdef NO_HANDOVER_ACK
        :: v != w && holds[v] && !holds[w] && LINK(v, w) && FIRST(w) && w < v ->
            holds[w] = true; holds[v] = false; has_replica[w] = true
#endif
        /* A holder is declared dead and the next VM takes over. */
        :: v != w && WORKS(v) && !cut[v] && ALIVE_TO(v, w) &&
           (!up[w] || paused[w] || (cut[w] && FOUND_OUT(w))) ->
            knows_dead[v * N + w] = true;
            mark_acked = mark_acked & ~(1 << w);
            if
            :: holds[w] && FIRST(v) -> holds[v] = true;
                /* Holds no more, or finds out when it wakes. */
                if :: !up[w] -> holds[w] = false :: else fi
            :: else
            fi
        /* Trouble. */
        :: up[v] && deaths < DEATHS ->
            up[v] = false; paused[v] = false; cut[v] = false; deaths++
        :: WORKS(v) && !cut[v] && troubles < TROUBLES ->
            paused[v] = true; troubles++
        :: WORKS(v) && !cut[v] && troubles < TROUBLES ->
            cut[v] = true; troubles++
        /* A VM that is cut off finds out. */
        :: up[v] && cut[v] && !fenced[v] -> fenced[v] = true;
            drop_replica(v)
        /* It wakes, and finds the gap in its clock. */
        :: paused[v] -> paused[v] = false;
#ifndef NO_FENCE
            fenced[v] = true;
#endif
            drop_replica(v)
        :: cut[v] -> cut[v] = false
        /* Its peers acknowledge it and state whom they declared dead. */
        :: v != w && fenced[v] && ACKNOWLEDGED(v, w) ->
            fenced[v] = false;
            s = 0;
            do
            :: s < N ->
                if
                :: s != v && LINK(v, s) ->
#ifndef NO_REVALIDATION
                    if
                    :: (knows_dead[s * N + v] || holds[s]) && TELLS(s, w) ->
                        holds[v] = false; record[v] = NONE;
                        replica[v] = NONE; has_replica[v] = false
                    :: else
                    fi;
#endif
                    knows_dead[s * N + v] = false;
                    /* It has found out itself, or does so later. */
                    if
                    :: !fenced[s] -> knows_dead[v * N + s] = false
                    :: else
                    fi
                :: else
                fi;
                s++
            :: else -> break
            od
        /* A dead VM starts again; the holder is another one by then. */
        :: !up[v] && !holds[v] && (v == 0 || w == v) ->
            s = 0;
            do
            :: s < N && (s == v || (WORKS(s) && !ALIVE_TO(s, v))) -> s++
            :: else -> break
            od;
            if :: s == N -> forget(v); up[v] = true :: else fi
        :: else
        fi;
        v = 0; w = 0; s = 0
    }
    od
}
