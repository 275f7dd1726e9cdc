/* No reachable VM sends a packet into a data centre 3 s after the set that takes
 * it out is published or the VM becomes reachable (sections 5.3 and 5.6).
 *
 * One unit of time is 1 s. VM 0 is in the data centre that is taken out and
 * holds a bucket; VMs 1 and 2 are elsewhere, and VM 1 ranks next. A reachable
 * VM learns of a version within LEARN units. A handover may take any time.
 * A VM that is cut off keeps its set: it may send packets into the data centre
 * for as long as it is cut off.
 *
 * FORWARD_TO_HOLDER lets the new owner forward to the former holder until the
 * handover is acknowledged, as section 5.3 says without an exception. NO_PULL
 * leaves out that VMs learn versions from peers within the bound.
 * CUT_OFF_TOO also claims the property for VMs that are cut off.
 */
#define N 3
#define LEARN 2
#define BOUND 3
#define OLD(v) (version[v] == 1)

byte version[N];
byte reachable_for[N];   /* since publication, up to BOUND + 1 */
bool cut_off[N];
bool published;
bool handed_over;

inline into(v)
{
#ifdef CUT_OFF_TOO
    assert(!published || after_publication <= BOUND)
#else
    assert(!published || cut_off[v] || reachable_for[v] <= BOUND)
#endif
}

active proctype world()
{
    byte v, after_publication;
    d_step {
        do :: v < N -> version[v] = 1; v++ :: else -> break od;
        v = 0
    }
    do
    :: atomic {
        if :: !published -> published = true :: true fi;
        v = 0;
        do
        :: v < N ->
            if
            :: skip
            :: cut_off[v] = !cut_off[v]; reachable_for[v] = 0
            fi;
            if
            :: published && !cut_off[v] && OLD(v) -> version[v] = 2
#ifdef NO_PULL
            :: published && !cut_off[v] && OLD(v) -> skip
#else
            :: published && !cut_off[v] && OLD(v) &&
               reachable_for[v] < LEARN -> skip
#endif
            :: else
            fi;
            v++
        :: else -> break
        od;
        if
        :: !OLD(0) && !OLD(1) && !cut_off[0] && !cut_off[1] ->
            handed_over = true
        :: true
        fi;
        /* A packet of the bucket at any VM. */
        v = 0;
        do
        :: v < N ->
            if
            :: skip
            /* With the old set, to its holder or a target of it. */
            :: OLD(v) -> into(v)
#ifdef FORWARD_TO_HOLDER
            :: v == 1 && !OLD(v) && !handed_over -> into(v)
#endif
            fi;
            v++
        :: else -> break
        od;
        v = 0;
        do
        :: v < N ->
            if
            :: published && !cut_off[v] && reachable_for[v] <= BOUND ->
                reachable_for[v]++
            :: else
            fi;
            v++
        :: else -> break
        od;
        if
        :: published && after_publication <= BOUND -> after_publication++
        :: else
        fi;
        v = 0
    }
    od
}
