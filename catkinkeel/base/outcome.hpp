#pragma once

// The result of an operation that can fail: a value or a failure. Failures are
// returned, not thrown; only a violated invariant stops the process.
//
// Example:
//   outcome<endpoint> parsed = parse_endpoint("127.0.0.1:80");
//   if (!parsed) { report(parsed.error().message); }

#include <cassert>
#include <compare>
#include <string>
#include <utility>
#include <variant>

namespace catkinkeel
{

/// Category of a failure, for callers that handle categories differently.
enum class failure_kind
{
    invalid_input,
    not_found,
    limit_exceeded,
    unavailable,
    timeout,
    not_authentic
};

/// Why an operation failed. `message` is human-readable and names the object,
/// the field and the violated rule where they apply.
struct failure
{
    failure_kind kind = failure_kind::invalid_input;
    std::string message;

    friend auto operator<=>(const failure&, const failure&) = default;
};

/// Holds either a `T` or a `failure`. Regular if `T` is. Accessing
/// the alternative that is not held violates an invariant (asserted).
template <class T>
class outcome
{
public:
    outcome(T value) : state_(std::in_place_index<0>, std::move(value)) {}
    outcome(failure reason) : state_(std::in_place_index<1>, std::move(reason))
    {
    }

    [[nodiscard]] bool has_value() const
    {
        return state_.index() == 0;
    }
    explicit operator bool() const
    {
        return has_value();
    }

    [[nodiscard]] const T& value() const&
    {
        assert(has_value());
        return *std::get_if<0>(&state_);
    }
    [[nodiscard]] T&& value() &&
    {
        assert(has_value());
        return std::move(*std::get_if<0>(&state_));
    }
    [[nodiscard]] const failure& error() const
    {
        assert(!has_value());
        return *std::get_if<1>(&state_);
    }

    friend bool operator==(const outcome&, const outcome&) = default;

private:
    std::variant<T, failure> state_;
};

/// Value type of operations that return no value on success.
using done = std::monostate;

} // namespace catkinkeel
