#pragma once

// Learns how large the answers of each reference usually are, and tells which
// answers are so small that they look like errors. The size of an answer is
// that of its first acknowledged part, the only one that callers' packets show
// in time.
//
// Example:
//   answer_statistics statistics;
//   const answer_verdict verdict = statistics.judge(key, bytes);
//   statistics.record(key, bytes, verdict, from_suspected_target, now);

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace catkinkeel::steering
{

/// What the size of an answer shows.
enum class answer_verdict : std::uint8_t
{
    /// Too few answers of the reference are known, or its usual answers are as
    /// small as errors.
    unjudged,
    usual,
    /// Much smaller than the usual answers of the reference.
    deficient
};

std::string_view to_string(answer_verdict verdict);

/// Answers are told apart by public address and by the service that sent them.
struct answer_source
{
    endpoint reference;
    service_id service;

    friend auto operator<=>(const answer_source&,
                            const answer_source&) = default;
};

/// Counts answers in windows of 30 s. A fault that is found within seconds
/// changes the share of a window by about a hundredth.
class deficiency_windows
{
public:
    static constexpr duration window = 30s;

    /// Counts an answer. Returns whether a window has ended before it.
    bool record(bool deficient, instant now);

    /// Takes deficient answers out of the present window.
    void remove(std::uint32_t deficient);

    /// Share of deficient answers in the last window and the present one,
    /// without `excluded` of them, out of at least `min_share_answers`.
    [[nodiscard]] double share(std::uint32_t excluded) const;
    /// Whether more than this share of the last window was deficient.
    [[nodiscard]] bool last_exceeds(double limit) const
    {
        return former_.deficient > limit * former_.answers;
    }

    /// So that the first answers of a fault, or one odd answer among few, are
    /// not taken for a usual share.
    static constexpr std::uint32_t min_share_answers = 400;

private:
    struct counts
    {
        std::uint32_t answers = 0;
        std::uint32_t deficient = 0;
    };

    counts former_;
    counts current_;
    instant started_at_;
};

/// The usual sizes of the answers from one source: a histogram with logarithmic
/// classes, whose counts are halved from time to time.
class answer_sizes
{
public:
    [[nodiscard]] answer_verdict judge(std::uint32_t bytes) const;

    /// Adds an answer of which `judge` returned `verdict`. `suspected` says
    /// whether its target is avoided because of failing answers.
    void record(std::uint32_t bytes, answer_verdict verdict, bool suspected,
                instant now);

    [[nodiscard]] instant changed_at() const
    {
        return changed_at_;
    }

private:
    static constexpr std::size_t class_count = 64;

    [[nodiscard]] bool may_learn(answer_verdict verdict);
    void add(std::uint32_t bytes);
    /// Size below which an answer is deficient.
    [[nodiscard]] double find_limit() const;

    std::array<std::uint16_t, class_count> counts_{};
    std::uint32_t total_ = 0;
    std::uint32_t seen_ = 0;
    /// Usual answers since the last deficient one that was added.
    std::uint32_t usual_since_outlier_ = 0;
    /// Consecutive windows with many deficient answers of trusted targets.
    std::uint32_t short_windows_ = 0;
    double limit_ = 0;
    deficiency_windows windows_;
    instant changed_at_;
};

/// Maximum number of sources; beyond it, the one without answers for longest is
/// dropped. Each takes about 250 bytes.
inline constexpr std::size_t max_answer_sources = 1024;

/// Not thread-safe. An answer costs O(log sources).
class answer_statistics
{
public:
    [[nodiscard]] answer_verdict judge(const answer_source& source,
                                       std::uint32_t bytes) const;
    void record(const answer_source& source, std::uint32_t bytes,
                answer_verdict verdict, bool suspected, instant now);

    [[nodiscard]] std::size_t size() const
    {
        return sources_.size();
    }

private:
    std::map<answer_source, answer_sizes> sources_;
};

} // namespace catkinkeel::steering
