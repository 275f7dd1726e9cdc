/* Daemons that follow stale replicas learn of a change within the bound.
 *
 * Time passes in ticks of a tenth of the bound. The store changes once, at any
 * tick. A replica shows the change at once, later or never. Daemon 0 is the
 * first in the order; it may stop at any tick. Notices may be lost.
 *
 * Rules that a variant leaves out:
 *   NO_OWN_CONFIRM  a daemon without a recent confirmation reads the newest
 *                   state itself
 *   NO_BEHIND       a daemon that is behind a notice reads the newest state
 *   LONG_FOLLOW     a cheap read waits for 0.3 of the bound at most, and never
 *                   past the time of the next confirmation
 *   AGE_FORGOTTEN   a confirmation that is passed on keeps its age
 */
#define DAEMONS 3
#define BOUND 10
#define FIRST_CONFIRMS 4
#define OTHERS_CONFIRM 6
#define FOLLOW_WAIT 3

bool changed = false;
byte since_change = 0;
bool stopped = false;

/* Per daemon: whether it has the change, the state and age of the last
 * confirmation, and the ticks until its present cheap read ends. */
bool has[DAEMONS];
bool confirmed[DAEMONS];
byte age[DAEMONS];
byte waits[DAEMONS];

inline tell(from, to)
{
    if
    :: from != to && (age[from] < age[to]) ->
        if
        :: confirmed[to] = confirmed[from];
#ifdef AGE_FORGOTTEN
           age[to] = 0
#else
           age[to] = age[from]
#endif
        :: skip /* lost */
        fi
    :: else
    fi
}

inline spread(from)
{
    tell(from, 0);
    tell(from, 1);
    tell(from, 2)
}

inline read_newest(i)
{
    has[i] = changed;
    confirmed[i] = changed;
    age[i] = 0;
    spread(i)
}

inline confirm_after(i, limit)
{
    if
    :: i == 0 -> limit = FIRST_CONFIRMS
    :: else -> limit = OTHERS_CONFIRM
    fi
}

inline follow(i, limit)
{
#ifdef LONG_FOLLOW
    waits[i] = BOUND
#else
    if
    :: limit - age[i] < FOLLOW_WAIT -> waits[i] = limit - age[i]
    :: else -> waits[i] = FOLLOW_WAIT
    fi
#endif
}

inline step(i)
{
    if
    :: age[i] < 2 * BOUND -> age[i]++
    :: else
    fi;
    if
    :: waits[i] > 0 -> waits[i]--
    :: else
    fi;
    /* The replica may show the change, which ends the read. */
    if
    :: changed && waits[i] > 0 -> has[i] = true; waits[i] = 0
    :: skip
    fi;
    if
    :: waits[i] == 0 ->
        confirm_after(i, limit);
        if
#ifndef NO_BEHIND
        :: confirmed[i] && !has[i] -> read_newest(i)
#endif
#ifdef NO_OWN_CONFIRM
        :: i == 0 && age[i] >= limit -> read_newest(i)
#else
        :: age[i] >= limit -> read_newest(i)
#endif
        :: else -> 
            if
            :: age[i] >= limit -> waits[i] = 1
            :: else -> follow(i, limit)
            fi
        fi
    :: else ->
        /* Daemons pass on the notices they received. */
        if
        :: spread(i)
        :: skip
        fi
    fi
}

active proctype site()
{
    byte limit;
    do
    :: since_change < BOUND + 1 ->
        d_step { limit = 0 };
        if
        :: !changed -> changed = true
        :: skip
        fi;
        if
        :: !stopped -> stopped = true
        :: skip
        fi;
        if
        :: !stopped -> step(0)
        :: else
        fi;
        step(1);
        step(2);
        if
        :: changed -> since_change++
        :: else
        fi;
        assert(since_change < BOUND || (has[1] && has[2] && (stopped || has[0])))
    :: else -> break
    od
}
