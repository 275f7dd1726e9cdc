#include "catkinkeel/daemon/event_reporter.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <utility>

namespace catkinkeel
{

void event_reporter::report(event_number number,
                            std::vector<event_field> fields,
                            const change_origin& origin)
{
    if (const event_definition* definition = find_event(number))
    {
        ++counts_.at(static_cast<std::size_t>(definition->level));
    }
    log_->report({number, wall_now(), std::move(fields)}, steady_now(), origin);
}

void event_reporter::report_suppressed()
{
    log_->report_suppressed(wall_now(), steady_now());
}

} // namespace catkinkeel
