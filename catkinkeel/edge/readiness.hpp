#pragma once

// Whether the routers are to send packets here. Written by the duties that know
// a reason, read by the HTTP server.

#include <atomic>
#include <string_view>

namespace catkinkeel::edge
{

/// Safe to use from any thread.
class readiness
{
public:
    /// A view that can serve is known. It stays known while the process lives,
    /// also when the metadata store goes away. Returns whether it is the first.
    bool set_view_known()
    {
        return !view_known_.exchange(true);
    }

    /// The daemon is about to stop.
    void set_departing()
    {
        departing_ = true;
    }

    [[nodiscard]] bool is_ready() const
    {
        return view_known_ && !departing_;
    }

    [[nodiscard]] std::string_view reason() const
    {
        if (departing_)
        {
            return "the daemon is stopping";
        }
        return view_known_ ? "terms are in effect" : "no terms are known";
    }

private:
    std::atomic<bool> view_known_{false};
    std::atomic<bool> departing_{false};
};

} // namespace catkinkeel::edge
