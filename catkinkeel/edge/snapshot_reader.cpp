#include "catkinkeel/edge/snapshot_reader.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/snapshot_json.hpp"

#include <utility>

namespace catkinkeel::edge
{

snapshot_reader::snapshot_reader(std::vector<endpoint> daemons,
                                 duration timeout, body_timeouts transfer)
    : daemons_(std::move(daemons)),
      timeout_(timeout),
      transfer_(transfer),
      random_(wall_nanoseconds())
{
}

metadata_result snapshot_reader::read()
{
    if (daemons_.empty())
    {
        return source_failure{"no snapshot source is configured"};
    }
    const endpoint& peer_endpoint = daemons_[random_.below(daemons_.size())];
    const http_result result =
        reader_.get({.server = peer_endpoint,
                     .path = snapshot_path,
                     .media_type = "application/json",
                     .timeout = timeout_,
                     .body = transfer_,
                     .max_body_bytes = max_snapshot_bytes});
    if (const auto* failed = std::get_if<http_failure>(&result))
    {
        return source_failure{to_string(peer_endpoint) + ": " +
                              to_string(failed->kind)};
    }
    auto update = parse_snapshot(std::get<http_response>(result).body);
    if (!update)
    {
        return source_failure{to_string(peer_endpoint) + ": " +
                              update.error().message};
    }
    return std::move(update).value();
}

void snapshot_reader::stop()
{
    reader_.stop();
}

} // namespace catkinkeel::edge
