#include "catkinkeel/steering/answer_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace catkinkeel::steering
{

namespace
{

/// Classes per doubling of the size, and the lower bound of the first class.
/// The 64 classes reach 16 KiB, beyond the first acknowledged part of any
/// answer.
constexpr double classes_per_doubling = 8;
constexpr double smallest_size = 64;

/// Answers that have to be seen before one is judged.
constexpr std::uint32_t min_answers = 50;
/// The low percentile that stands for the usual size.
constexpr double low_share = 0.02;
/// An answer below this part of the low percentile is deficient. Errors have a
/// quarter to a half of it in the measurements.
constexpr double deficient_part = 0.6;
/// Answers with status 500 and 503 have 180 to 209 bytes in the measurements. A
/// reference whose limit is lower cannot tell them from its usual answers.
constexpr double min_limit = 220;
/// Counts are halved when they reach this total, so that half of the estimate
/// comes from the last 500 answers.
constexpr std::uint32_t max_total = 1000;
/// The limit is computed anew after this many answers.
constexpr std::uint32_t limit_period = 16;
/// One deficient answer is added for each so many usual ones. This is half of
/// `low_share`, so errors alone never become the usual size, however long they
/// last.
constexpr std::uint32_t outlier_period = 100;
/// Short answers of trusted targets are usual after all if more than
/// `low_share` of all answers are short in this many windows (2 minutes).
constexpr std::uint32_t max_short_windows = 4;

std::size_t class_of(std::uint32_t bytes, std::size_t class_count)
{
    const double position =
        std::log2(std::max(bytes / smallest_size, 1.0)) * classes_per_doubling;
    return std::min(static_cast<std::size_t>(position), class_count - 1);
}

} // namespace

std::string_view to_string(answer_verdict verdict)
{
    constexpr std::array<std::string_view, 3> names{"unjudged", "usual",
                                                    "deficient"};
    return names.at(static_cast<std::size_t>(verdict));
}

bool deficiency_windows::record(bool deficient, instant now)
{
    const bool ended = now - started_at_ >= window;
    if (ended)
    {
        former_ = current_;
        current_ = {};
        started_at_ = now;
    }
    ++current_.answers;
    current_.deficient += deficient ? 1 : 0;
    return ended;
}

void deficiency_windows::remove(std::uint32_t deficient)
{
    current_.deficient -= std::min(deficient, current_.deficient);
}

double deficiency_windows::share(std::uint32_t excluded) const
{
    const std::uint32_t deficient = former_.deficient + current_.deficient;
    return static_cast<double>(deficient - std::min(excluded, deficient)) /
           std::max(former_.answers + current_.answers, min_share_answers);
}

answer_verdict answer_sizes::judge(std::uint32_t bytes) const
{
    if (seen_ < min_answers || limit_ < min_limit)
    {
        return answer_verdict::unjudged;
    }
    return bytes < limit_ ? answer_verdict::deficient : answer_verdict::usual;
}

void answer_sizes::record(std::uint32_t bytes, answer_verdict verdict,
                          bool suspected, instant now)
{
    changed_at_ = now;
    if (!suspected &&
        windows_.record(verdict == answer_verdict::deficient, now))
    {
        short_windows_ =
            windows_.last_exceeds(low_share) ? short_windows_ + 1 : 0;
    }
    if (may_learn(verdict))
    {
        add(bytes);
    }
    ++seen_;
    if (seen_ == min_answers || seen_ % limit_period == 0)
    {
        limit_ = find_limit();
    }
}

bool answer_sizes::may_learn(answer_verdict verdict)
{
    if (verdict != answer_verdict::deficient)
    {
        ++usual_since_outlier_;
        return true;
    }
    if (short_windows_ >= max_short_windows)
    {
        return true;
    }
    if (usual_since_outlier_ < outlier_period)
    {
        return false;
    }
    usual_since_outlier_ = 0;
    return true;
}

void answer_sizes::add(std::uint32_t bytes)
{
    ++counts_.at(class_of(bytes, class_count));
    if (++total_ < max_total)
    {
        return;
    }
    total_ = 0;
    for (std::uint16_t& count : counts_)
    {
        count /= 2;
        total_ += count;
    }
}

double answer_sizes::find_limit() const
{
    // A share of `low_share` of outliers, such as partial acknowledgements, is
    // passed over.
    const double outliers = total_ * low_share;
    std::uint32_t sum = 0;
    std::size_t position = 0;
    while (position + 1 < class_count)
    {
        sum += counts_.at(position);
        if (sum > outliers)
        {
            break;
        }
        ++position;
    }
    const double low_percentile =
        smallest_size *
        std::exp2(static_cast<double>(position) / classes_per_doubling);
    return low_percentile * deficient_part;
}

answer_verdict answer_statistics::judge(const answer_source& source,
                                        std::uint32_t bytes) const
{
    const auto found = sources_.find(source);
    return found == sources_.end() ? answer_verdict::unjudged
                                   : found->second.judge(bytes);
}

void answer_statistics::record(const answer_source& source, std::uint32_t bytes,
                               answer_verdict verdict, bool suspected,
                               instant now)
{
    const auto found = sources_.find(source);
    if (found == sources_.end() && sources_.size() >= max_answer_sources)
    {
        sources_.erase(std::ranges::min_element(
            sources_, {},
            [](const auto& each) { return each.second.changed_at(); }));
    }
    sources_[source].record(bytes, verdict, suspected, now);
}

} // namespace catkinkeel::steering
