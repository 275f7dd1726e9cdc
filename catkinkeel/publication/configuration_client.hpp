#pragma once

// What this project reads from the platform and from targets over HTTP. Answers
// are returned as text; `contract`, `vm` and `target` parse them.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/http/http_reader.hpp"

#include <chrono>
#include <compare>
#include <string>
#include <variant>

namespace catkinkeel
{

/// Media types of the platform's answers.
inline constexpr const char* document_media_type = "application/toml";
inline constexpr const char* report_media_type = "application/json";

/// The index has no later version.
struct not_changed
{
    friend auto operator<=>(const not_changed&, const not_changed&) = default;
};

using index_answer = std::variant<std::string, not_changed, read_failure>;
using text_answer = std::variant<std::string, read_failure>;

/// Client of the configuration service and of the VM list. One call at a time;
/// a thread that watches and one that reads chunks need a client each.
class configuration_client
{
public:
    /// `timeout` bounds each answer, for a watch in addition to its wait.
    explicit configuration_client(endpoint platform, duration timeout = 5s);

    /// `GET /v1/index?after=<version>&wait=<s>`: the index, or `not_changed`
    /// (status 204) if no version after `after` was published within `wait`. A
    /// stale service may answer with an older index at once; the caller then
    /// pauses (`watch_pause`).
    index_answer watch_index(set_version after, std::chrono::seconds wait);

    /// `GET /v1/chunks/<name>/<hash>`. The content is verified by `set_store`.
    text_answer read_chunk(const std::string& name, const std::string& hash);

    /// `GET /v1/vms`.
    text_answer read_vms();

    /// Ends the present call and all later ones. May be called by any thread.
    void stop();

private:
    text_answer read_text(std::string path);

    endpoint platform_;
    duration timeout_;
    http_reader reader_;
};

/// Client of targets' load reports. One call at a time.
class report_client
{
public:
    /// Bytes of one report. A report of today has about 100.
    static constexpr std::size_t max_report = 16UL * 1024;

    /// `timeout` bounds each answer; a steward reads about 10 targets in turn.
    explicit report_client(duration timeout = 500ms);

    /// `GET /load` at the target's report endpoint.
    text_answer read_load(const endpoint& report);

    /// Ends the present call and all later ones. May be called by any thread.
    void stop();

private:
    duration timeout_;
    http_reader reader_;
};

} // namespace catkinkeel
