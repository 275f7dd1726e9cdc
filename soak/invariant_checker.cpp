#include "soak/invariant_checker.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

/// Timers and a busy machine delay what is measured here; the bounds are those
/// of the settings.
constexpr duration slack = 1s;

std::string text_of(target_process target)
{
    return "target " + std::to_string(target.number) + " incarnation " +
           std::to_string(target.incarnation);
}

std::string text_of_daemon(std::uint32_t daemon)
{
    return "daemon " + std::to_string(daemon);
}

} // namespace

invariant_checker::invariant_checker(std::uint32_t daemons)
    : disturbed_until_(daemons)
{
}

void invariant_checker::published(std::map<endpoint, std::uint32_t> services,
                                  instant now)
{
    publications_.push_back({now, std::move(services)});
}

void invariant_checker::evacuated(const std::string& data_centre, bool out,
                                  instant now)
{
    if (out)
    {
        out_since_.try_emplace(data_centre, now);
    }
    else
    {
        out_since_.erase(data_centre);
    }
}

void invariant_checker::draining(target_process target, instant now)
{
    draining_since_.try_emplace(target, now);
}

void invariant_checker::disturbed(std::uint32_t daemon, instant until)
{
    instant& known = disturbed_until_.at(daemon);
    known = std::max(known, until);
}

void invariant_checker::troubled(instant until)
{
    troubled_until_ = std::max(troubled_until_.value_or(until), until);
}

void invariant_checker::target_ended(target_process target)
{
    ended_.insert(target);
}

bool invariant_checker::undisturbed(std::uint32_t daemon, instant since) const
{
    return disturbed_until_.at(daemon) + recovery_bound <= since;
}

bool invariant_checker::may_open(std::uint32_t daemon,
                                 const endpoint& reference,
                                 std::uint32_t service, instant now) const
{
    // A set stays allowed until the next one must be in force. A daemon that
    // cannot read goes on with what it has, whatever its age.
    for (std::size_t i = publications_.size(); i-- > 0;)
    {
        const auto named = publications_[i].services.find(reference);
        if (named != publications_[i].services.end() &&
            named->second == service)
        {
            return true;
        }
        const instant must_hold = publications_[i].at + terms_bound + slack;
        if (now > must_hold && undisturbed(daemon, publications_[i].at))
        {
            return false;
        }
    }
    return false;
}

void invariant_checker::opening_arrived(
    std::uint32_t daemon, const endpoint& reference, target_process at,
    std::uint32_t service, const std::string& data_centre, instant now)
{
    ++counts_.packets_checked;
    if (!may_open(daemon, reference, service, now))
    {
        violated(text_of_daemon(daemon) + " opened a flow of " +
                 to_string(reference) + " at a target of " +
                 service_name(service));
    }
    const auto late = [&](instant since, duration bound)
    {
        return now > since + bound + slack && undisturbed(daemon, since);
    };
    const auto out = out_since_.find(data_centre);
    if (out != out_since_.end() && late(out->second, evacuation_bound))
    {
        violated(text_of_daemon(daemon) + " opened a flow in " + data_centre +
                 ", which is evacuated");
    }
    const auto drains = draining_since_.find(at);
    if (drains != draining_since_.end() && late(drains->second, drain_bound))
    {
        violated(text_of_daemon(daemon) + " opened a flow at " + text_of(at) +
                 ", which drains");
    }
}

void invariant_checker::packet_arrived(std::uint32_t daemon,
                                       const endpoint& caller,
                                       target_process opened_at,
                                       target_process at)
{
    ++counts_.packets_checked;
    if (at != opened_at && alive(opened_at))
    {
        violated(text_of_daemon(daemon) + " sent a packet of flow " +
                 to_string(caller) + " to " + text_of(at) +
                 "; the flow is open at " + text_of(opened_at));
    }
}

void invariant_checker::opened()
{
    ++counts_.opened;
}

void invariant_checker::refused()
{
    ++counts_.refused;
}

void invariant_checker::not_opened(const endpoint& caller, instant began)
{
    ++counts_.not_opened;
    if (calm(began))
    {
        violated("flow " + to_string(caller) +
                 " did not open, although nothing was disturbed");
    }
}

void invariant_checker::finished()
{
    ++counts_.finished;
}

void invariant_checker::reset(const endpoint& caller, target_process at)
{
    if (alive(at))
    {
        violated("open flow " + to_string(caller) + " was reset; " +
                 text_of(at) + " lives");
        return;
    }
    ++counts_.lost_with_target;
}

void invariant_checker::silent(const endpoint& caller, target_process at,
                               std::uint32_t attempts)
{
    if (alive(at))
    {
        violated("open flow " + to_string(caller) + " got no answer to " +
                 std::to_string(attempts) + " packets at daemons that live; " +
                 text_of(at) + " lives");
        return;
    }
    ++counts_.lost_with_target;
}

void invariant_checker::exited(std::uint32_t daemon, int status, bool asked,
                               bool in_time)
{
    if (!asked)
    {
        violated(text_of_daemon(daemon) + " ended by itself with status " +
                 std::to_string(status));
    }
    else if (!in_time)
    {
        violated(text_of_daemon(daemon) + " ended later than its grace");
    }
}

void invariant_checker::violated(std::string what)
{
    violations_.push_back(std::move(what));
}

} // namespace catkinkeel::soak
