#pragma once

// Whether the routers should send packets to this daemon. Set by the duties
// that change it, read by the HTTP server.

#include <atomic>
#include <string_view>

namespace catkinkeel::edge
{

/// Safe to use from any thread.
class readiness
{
public:
    /// Records that the daemon has a view with which it can serve flows. It
    /// keeps one while the process lives, even if the metadata store becomes
    /// unreachable. Returns true on the first call.
    bool set_view_available()
    {
        return !view_available_.exchange(true);
    }

    /// Records that the daemon is stopping.
    void set_departing()
    {
        departing_ = true;
    }

    [[nodiscard]] bool is_ready() const
    {
        return view_available_ && !departing_;
    }

    [[nodiscard]] std::string_view reason() const
    {
        if (departing_)
        {
            return "the daemon is stopping";
        }
        return view_available_ ? "a configuration is in effect"
                               : "no configuration is available";
    }

private:
    std::atomic<bool> view_available_{false};
    std::atomic<bool> departing_{false};
};

} // namespace catkinkeel::edge
