#pragma once

// Bounded HTTP/1.1 GET. Every answer is bounded in bytes and in time, and every
// way in which a server can misbehave is a typed failure.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace catkinkeel
{

/// Why a read failed.
enum class read_problem : std::uint8_t
{
    /// No connection.
    unreachable,
    /// The whole answer did not come in time.
    timeout,
    /// Any 3xx status. Redirects are not followed: addresses come only from
    /// settings and from the published set.
    redirected,
    /// Any other status that is not expected.
    bad_status,
    /// Not HTTP, or a body without a length.
    malformed,
    /// The connection ended inside the answer.
    short_body,
    /// The body is larger than the request allows.
    oversized,
    /// Another media type, or bytes that are not text.
    wrong_content,
    /// `stop` was called.
    stopped
};

std::string to_string(read_problem problem);

struct read_failure
{
    read_problem problem = read_problem::unreachable;
    /// 0 if no status line was read.
    unsigned status = 0;
    /// For people.
    std::string message;

    friend auto operator<=>(const read_failure&, const read_failure&) = default;
};

/// What to get, and the bounds on the answer.
struct http_get
{
    endpoint server;
    /// Begins with '/'. Must be legal in a request line.
    std::string path;
    /// Expected media type, without parameters.
    std::string media_type;
    /// From the connection attempt to the last byte.
    duration timeout = 5s;
    /// Bytes of body.
    std::size_t max_body = 1024UL * 1024;

    friend bool operator==(const http_get&, const http_get&) = default;
};

/// A complete answer with status 200, or with status 204 and an empty body.
struct http_answer
{
    unsigned status = 200;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

using http_result = std::variant<http_answer, read_failure>;

/// Gets one answer at a time on the calling thread, which sleeps while it
/// waits.
///
/// It is built on Boost.Beast and not on CivetWeb's client, which serves the
/// rest of the project: in CivetWeb 1.15 `mg_read` waits 30 s for each next
/// byte of a body whatever time-out `mg_get_response` was given, so a server
/// that sends slowly holds the thread without limit.
class http_reader
{
public:
    http_reader();
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    http_result get(const http_get& request);

    /// Ends the present `get` and all later ones with `stopped`. May be called
    /// by any thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace catkinkeel
