/* Packets of a flow find its target by the token, and reach no other service.
 *
 * Target 0 serves service 0, target 1 serves service 1. A target may lose its
 * entry in the store while it lives, may end, and target 1 may then start at
 * the address of target 0. The reference names service 0 and may move to
 * service 1. A daemon reads the store at any time, or never again. The flow
 * opens at target 0; the caller sends packets with its token or with a token
 * that it invents.
 *
 * Rules that a variant leaves out:
 *   NO_IDENTITY        a packet names its target, and another target drops it
 *   NO_PERMITTED       a token leads only to a service that the reference names
 *                      or named
 *   FORGET_FORMER      a service that was named stays permitted while flows live
 *   FORGET_WITHDRAWN   a target without an entry stays known while flows live
 */
#define NOBODY 2
#define SERVICE(t) (t)

bool alive[2];
bool entry[2];
/* The target that listens at the address of target 0. */
byte at_address_0 = 0;
bool moved = false;
bool open = false;

/* State of the daemon. */
bool known[2];
bool withdrawn[2];
bool permitted[2];
bool knows_move = false;

bool target_1_moved_in = false;

inline read_store()
{
    d_step {
        byte t = 0;
        do
        :: t < 2 ->
            if
            :: entry[t] -> known[t] = true; withdrawn[t] = false
            :: !entry[t] && known[t] ->
#ifdef FORGET_WITHDRAWN
                known[t] = false
#else
                withdrawn[t] = true
#endif
            :: else
            fi;
            t++
        :: else -> break
        od;
        t = 0;
        if
        :: moved ->
            permitted[1] = true;
#ifdef FORGET_FORMER
            permitted[0] = false
#endif
        :: else -> permitted[0] = true
        fi
    }
}

/* Sends a packet with the token of target `k`. */
inline packet(k)
{
    byte reached = NOBODY;
    if
#ifdef NO_PERMITTED
    :: known[k] ->
#else
    :: known[k] && permitted[SERVICE(k)] ->
#endif
        if
        :: k == 0 -> reached = at_address_0
        :: k == 1 && target_1_moved_in -> reached = at_address_0
        :: else -> reached = 1
        fi;
#ifndef NO_IDENTITY
        if
        :: reached != k -> reached = NOBODY
        :: else
        fi;
#endif
        if
        :: reached != NOBODY && !alive[reached] -> reached = NOBODY
        :: else
        fi
    :: else
    fi;
    /* Only services that the reference has named see its packets. */
    assert(reached == NOBODY || SERVICE(reached) == 0 || moved);
    /* The flow is whole while its target lives. */
    assert(!(k == 0 && open && alive[0]) || reached == 0)
}

active proctype site()
{
    byte steps = 0;
    alive[0] = true; entry[0] = true;
    alive[1] = true; entry[1] = true;
    do
    :: steps < 12 ->
        steps++;
        if
        :: read_store()
        :: known[0] && !withdrawn[0] && permitted[0] && alive[0] && !open &&
           at_address_0 == 0 -> open = true
        :: entry[0] -> entry[0] = false
        :: alive[0] -> alive[0] = false; at_address_0 = NOBODY
        /* Target 1 starts again, with a new entry, where target 0 was. */
        :: !alive[0] && !target_1_moved_in ->
            target_1_moved_in = true; at_address_0 = 1
        :: !moved -> moved = true
        :: packet(0)
        :: packet(1)
        fi
    :: else -> break
    od
}
