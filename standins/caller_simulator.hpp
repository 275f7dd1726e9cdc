#pragma once

// Stand-ins of the fabric and of callers: callers open TCP flows, the fabric
// hands each packet to a random entry VM, answers come back from targets.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace catkinkeel
{

/// What the callers have seen.
struct site_counts
{
    std::uint64_t opened = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_within_1s = 0;
    std::uint64_t refused = 0;
    /// Flows with an answer from another target than their first.
    std::uint64_t broken = 0;
    /// Answers from a target of another service than the flow's.
    std::uint64_t misdirected = 0;
    /// Flows that had been answered and whose last packets were not.
    std::uint64_t silent = 0;

    friend auto operator<=>(const site_counts&, const site_counts&) = default;
};

/// Runs on the calling thread.
class caller_site
{
public:
    using service_lookup = std::function<service_id(target_id)>;

    /// Empty if `egress` cannot be bound.
    static std::unique_ptr<caller_site> start(std::vector<endpoint> entry_vms,
                                              const endpoint& egress,
                                              service_lookup service_of,
                                              std::uint64_t seed);
    ~caller_site();
    caller_site(const caller_site&) = delete;
    caller_site& operator=(const caller_site&) = delete;

    /// Opens `count` flows to a public endpoint. With `meant`, answers from
    /// another service count as misdirected from the first on.
    void open(const endpoint& public_endpoint, std::uint32_t count,
              std::optional<service_id> meant, instant now);

    /// Sends what is due and takes the answers that have arrived.
    void turn(instant now);

    /// Flows whose last three packets got no answer count as silent.
    [[nodiscard]] site_counts counts(instant now) const;
    [[nodiscard]] std::map<target_id, std::uint32_t> flows_by_target() const;

private:
    struct flow
    {
        endpoint caller;
        endpoint public_endpoint;
        std::optional<service_id> service;
        std::optional<target_id> target;
        instant opened_at;
        instant due_at;
        instant answered_at;
        bool broken = false;
        bool over = false;
    };

    caller_site(int socket, std::vector<endpoint> entry_vms,
                service_lookup service_of, std::uint64_t seed);
    void send(const flow& of);
    void receive(instant now);
    void take(const std::uint8_t* data, std::uint32_t size, instant now);
    void take_answer(flow& of, target_id target, instant now);

    int socket_;
    std::vector<endpoint> entry_vms_;
    service_lookup service_of_;
    random_source random_;
    std::vector<flow> flows_;
    site_counts counts_;
};

} // namespace catkinkeel
