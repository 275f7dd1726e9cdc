#pragma once

// A small stand-in for the platform: the configuration service and the VM list
// over HTTP on the loopback interface. For tests and the demonstration.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace catkinkeel
{

/// How the stand-in answers reads.
enum class standin_mode : std::uint8_t
{
    normal,
    /// As if nothing had been published since the mode was set.
    stale,
    /// With the index published before the newest one, at once, whatever the
    /// reader has.
    older,
    /// With status 503.
    error
};

/// Parses "normal", "stale", "older" or "error".
outcome<standin_mode> parse_standin_mode(std::string_view text);

/// Reads answered since the start; a waiting watch counts as one.
struct standin_reads
{
    std::uint64_t index = 0;
    std::uint64_t chunks = 0;
    std::uint64_t vms = 0;
    /// Of these, answered with an error.
    std::uint64_t failed = 0;

    friend auto operator<=>(const standin_reads&,
                            const standin_reads&) = default;
};

/// Serves `GET /v1/index?after=&wait=`, `GET /v1/chunks/<name>/<hash>` and
/// `GET /v1/vms`, and takes `PUT /control/set` (a whole-set document),
/// `PUT /control/vms` and `PUT /control/mode`. All functions may be called by
/// any thread.
class platform_standin
{
public:
    /// Listens on 127.0.0.1; port 0 takes a free one. At most `watches`
    /// requests are served at once; each waiting watch holds a thread. Fails
    /// with `unavailable` if the port cannot be had.
    static outcome<std::shared_ptr<platform_standin>>
    start(std::uint16_t port, unsigned watches = 32);

    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    [[nodiscard]] endpoint address() const;

    /// Publishes documents as they are; they need not be legal. Chunks of the
    /// version before stay readable.
    void publish(set_version version, set_documents documents);
    void publish(const published_objects& objects);
    void set_vms(std::string text);
    void set_mode(standin_mode mode);

    [[nodiscard]] standin_reads reads() const;

private:
    struct state;
    explicit platform_standin(std::unique_ptr<state> running);

    std::unique_ptr<state> state_;
};

} // namespace catkinkeel
