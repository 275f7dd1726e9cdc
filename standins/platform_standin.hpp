#pragma once

// Stand-in for the platform in tests and the demonstration: serves the
// configuration and the VM list over HTTP on the loopback interface.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace catkinkeel
{

/// How the stand-in responds to reads.
enum class standin_mode : std::uint8_t
{
    normal,
    /// Hides everything that was published since the mode was set.
    stale,
    /// Immediately returns the index published before the newest one,
    /// regardless of the version that the reader already has.
    older,
    /// Responds with status 503.
    error
};

/// Parses "normal", "stale", "older" or "error".
outcome<standin_mode> parse_standin_mode(std::string_view text);

/// Numbers of reads since the start. A long-polling watch counts as one.
struct standin_read_counts
{
    std::uint64_t index = 0;
    std::uint64_t chunks = 0;
    std::uint64_t vms = 0;
    /// Reads of any kind that returned an error.
    std::uint64_t failed = 0;

    friend auto operator<=>(const standin_read_counts&,
                            const standin_read_counts&) = default;
};

/// Serves `GET /v1/index?after=&wait=`, `GET /v1/chunks/<name>/<hash>` and
/// `GET /v1/vms`, and accepts `PUT /control/set` (a whole-set document),
/// `PUT /control/vms` and `PUT /control/mode`. Thread-safe.
class platform_standin
{
public:
    /// Listens on 127.0.0.1; port 0 selects a free one. Serves at most
    /// `max_requests` requests at once, since each long-polling watch occupies
    /// a thread. Fails with `unavailable` if the port cannot be bound.
    static outcome<std::shared_ptr<platform_standin>>
    start(std::uint16_t port, unsigned max_requests = 32);

    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    [[nodiscard]] endpoint address() const;

    /// Publishes documents without validating them. Chunks of the previous
    /// version remain readable.
    void publish(set_version version, set_documents documents);
    void publish(const published_objects& objects);
    void set_vms(std::string text);
    void set_mode(standin_mode mode);

    [[nodiscard]] standin_read_counts reads() const;

private:
    struct state;
    explicit platform_standin(std::unique_ptr<state> initial_state);

    std::unique_ptr<state> state_;
};

} // namespace catkinkeel
