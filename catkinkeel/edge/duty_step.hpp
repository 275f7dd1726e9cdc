#pragma once

// Keeps an unexpected exception in one step of a duty from ending the process.

#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/event_channel.hpp"

#include <exception>
#include <string>
#include <string_view>

namespace catkinkeel::edge
{

/// Runs `step`. An exception is counted and logged as `duty_failed`, and the
/// duty goes on with its next step. Returns whether `step` ended normally.
template <class Step>
bool run_duty_step(std::string_view duty, event_channel& events,
                   edge_metrics& metrics, Step&& step)
{
    try
    {
        step();
        return true;
    }
    catch (const std::exception& error)
    {
        metrics.duty_failures.Increment();
        try
        {
            events.report(event_number::duty_failed,
                          {field("duty", std::string(duty)),
                           field("reason", std::string(error.what()))});
        }
        catch (const std::exception&)
        {
            // Memory is short; the counter above has the failure.
            return false;
        }
        return false;
    }
}

} // namespace catkinkeel::edge
