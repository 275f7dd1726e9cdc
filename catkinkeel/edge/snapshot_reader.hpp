#pragma once

// Requests snapshots from other daemons while the metadata store is
// unreachable. Requests go over TCP, and only to addresses given in the
// settings.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/http/http_client.hpp"

#include <vector>

namespace catkinkeel::edge
{

/// Only one read may run at a time; `stop` may be called by any thread.
class snapshot_reader
{
public:
    /// `timeout` limits one request up to the header of its response,
    /// `transfer` the body.
    snapshot_reader(std::vector<endpoint> daemons, duration timeout,
                    body_timeouts transfer);

    /// Requests a snapshot from one random daemon, without a retry.
    metadata_result read();

    /// Makes the current read and all later ones return at once.
    void stop();

private:
    std::vector<endpoint> daemons_;
    duration timeout_;
    body_timeouts transfer_;
    random_source random_;
    http_client reader_;
};

} // namespace catkinkeel::edge
