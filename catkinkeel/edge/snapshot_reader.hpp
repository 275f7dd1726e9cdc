#pragma once

// Asks other daemons for what they know, where the metadata store cannot be
// reached. It asks only addresses that the settings name, over TCP.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/http/http_reader.hpp"

#include <vector>

namespace catkinkeel::edge
{

/// One call at a time, but `stop` may be called by any thread.
class snapshot_reader
{
public:
    /// `timeout` bounds the answer of one daemon.
    snapshot_reader(std::vector<endpoint> daemons, duration timeout);

    /// The snapshot of a random daemon that answers; one attempt.
    metadata_result read();

    void stop();

private:
    std::vector<endpoint> daemons_;
    duration timeout_;
    random_source random_;
    http_reader reader_;
};

} // namespace catkinkeel::edge
