/* The version in effect at a VM never goes back and is never half applied
 * (section 5.5).
 *
 * The service publishes versions 1 to LAST; any read may show an older one. A
 * set consists of two chunks whose content differs in each version. VMs read
 * the service or each other, in parts; any two may be cut off from each other
 * for any time. A VM may restart and lose everything.
 *
 * Assumption: a VM that restarts can reach a peer that holds the set that was
 * in effect here, or one that is newer. Without one, nothing remembers the
 * version, and a stale service may take the VM back: see FORGETFUL.
 *
 * NO_MONOTONE, NO_HASH, NO_PEERS_FIRST and FORGETFUL each take a rule or the
 * assumption out.
 */
#define N 3
#define LAST 3

#ifdef NO_HASH
#define COMPLETE(chunk) (chunk > 0)
#else
#define COMPLETE(chunk) (chunk == index_of[_pid])
#endif

byte published = 1;
byte effect[N];        /* 0 is none */
byte highest[N];       /* ever in effect at the VM, over restarts */
byte index_of[N];      /* index of the set being fetched, 0 is none */
byte chunk_a[N];       /* version of the content that was fetched */
byte chunk_b[N];
bool asked[N];         /* a peer has answered since the start */

inline may_index(v, version)
{
    if
#ifdef NO_MONOTONE
    :: version != effect[v] ->
#else
    :: version > effect[v] && version >= index_of[v] ->
#endif
        index_of[v] = version
    :: else
    fi
}

/* A chunk whose content does not have the hash of the index is refused. */
inline fetch(chunk, v, version)
{
    if
#ifndef NO_HASH
    :: version == index_of[v] -> chunk = version
    :: else
#else
    :: chunk = version
#endif
    fi
}

active [N] proctype vm()
{
    byte peer, seen;
    do
    /* Read the index from the service, which may be stale. */
    :: atomic {
#ifndef NO_PEERS_FIRST
        asked[_pid] ->
#endif
        select(seen : 1 .. published);
        may_index(_pid, seen); seen = 0
    }
    /* Learn of a peer's version, or ask it after a start. */
    :: atomic {
        select(peer : 0 .. N - 1);
        if
        :: peer != _pid && effect[peer] > 0 ->
            if
#ifndef FORGETFUL
            :: effect[_pid] == 0 && effect[peer] < highest[_pid] -> skip
#endif
            :: else -> asked[_pid] = true; may_index(_pid, effect[peer])
            fi
        :: else
        fi;
        peer = 0
    }
    /* Fetch a chunk from a peer or the service, whatever version it has. */
    :: atomic {
        index_of[_pid] > 0 ->
        select(seen : 1 .. published);
        if
        :: true -> fetch(chunk_a[_pid], _pid, seen)
        :: true -> fetch(chunk_b[_pid], _pid, seen)
        fi;
        seen = 0
    }
    :: d_step {
        index_of[_pid] > 0 && COMPLETE(chunk_a[_pid]) &&
        COMPLETE(chunk_b[_pid]) ->
        effect[_pid] = index_of[_pid];
        assert(effect[_pid] >= highest[_pid]);
        assert(chunk_a[_pid] == effect[_pid] && chunk_b[_pid] == effect[_pid]);
        highest[_pid] = effect[_pid];
        index_of[_pid] = 0; chunk_a[_pid] = 0; chunk_b[_pid] = 0
    }
    /* Restart, if a peer remembers. */
    :: d_step {
        effect[_pid] > 0 &&
        ((effect[(_pid + 1) % N] >= effect[_pid]) ||
         (effect[(_pid + 2) % N] >= effect[_pid])) ->
        effect[_pid] = 0; index_of[_pid] = 0; asked[_pid] = false;
        chunk_a[_pid] = 0; chunk_b[_pid] = 0
    }
    od
}

active proctype operator()
{
    /* The first start of the fleet has no peer to ask. */
    d_step { asked[0] = true; asked[1] = true; asked[2] = true }
end:
    do
    :: published < LAST -> published++
    :: else -> break
    od
}
