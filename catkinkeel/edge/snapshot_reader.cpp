#include "catkinkeel/edge/snapshot_reader.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/snapshot_json.hpp"

#include <utility>

namespace catkinkeel::edge
{

snapshot_reader::snapshot_reader(std::vector<endpoint> daemons,
                                 duration timeout)
    : daemons_(std::move(daemons)),
      timeout_(timeout),
      random_(wall_nanoseconds())
{
}

metadata_result snapshot_reader::read()
{
    if (daemons_.empty())
    {
        return source_failure{"no other daemon is known"};
    }
    const endpoint& asked = daemons_[random_.below(daemons_.size())];
    const http_result result = reader_.get({.server = asked,
                                            .path = snapshot_path,
                                            .media_type = "application/json",
                                            .timeout = timeout_,
                                            .max_body = largest_snapshot});
    if (const auto* failed = std::get_if<read_failure>(&result))
    {
        return source_failure{to_string(asked) + ": " +
                              to_string(failed->problem)};
    }
    auto update = parse_snapshot(std::get<http_answer>(result).body);
    if (!update)
    {
        return source_failure{to_string(asked) + ": " + update.error().message};
    }
    return std::move(update).value();
}

void snapshot_reader::stop()
{
    reader_.stop();
}

} // namespace catkinkeel::edge
