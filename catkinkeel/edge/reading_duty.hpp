#pragma once

// The thread that reads the metadata store and passes on what it says.

#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace catkinkeel::edge
{

/// The store was asked in vain.
struct contact_lost
{
    friend auto operator<=>(const contact_lost&, const contact_lost&) = default;
};

/// News of the store for the catalogue of targets and terms.
using reading = std::variant<std::shared_ptr<const steering::metadata_update>,
                             contact_lost>;

/// Updates that wait to be applied.
inline constexpr std::size_t reading_ring_size = 64;

using reading_ring = bounded_ring<reading>;

/// The delay before a failed read is repeated.
[[nodiscard]] duration retry_delay(const reading_settings& settings,
                                   std::uint32_t failures);

class reading_duty
{
public:
    reading_duty(reading_settings settings,
                 std::shared_ptr<metadata_source> source,
                 std::shared_ptr<reading_ring> out,
                 std::shared_ptr<event_channel> events,
                 std::shared_ptr<edge_metrics> metrics);
    ~reading_duty();
    reading_duty(const reading_duty&) = delete;
    reading_duty& operator=(const reading_duty&) = delete;

private:
    void run();
    metadata_result read_once();
    void take(steering::metadata_update update);
    void take(const history_lost& lost);
    void take(const source_failure& failed);
    /// Returns false if the duty is to end.
    bool sleep_until(instant moment);

    reading_settings settings_;
    std::shared_ptr<metadata_source> source_;
    std::shared_ptr<reading_ring> out_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;

    /// 0 before everything was read.
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    instant unreachable_since_;

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace catkinkeel::edge
