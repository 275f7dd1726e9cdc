#pragma once

// HTTP clients of the platform's configuration service and of targets' load
// reports. Answers are returned as text; the libraries `contract`, `vm` and
// `target` parse them.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/http/http_client.hpp"

#include <chrono>
#include <compare>
#include <string>
#include <variant>

namespace catkinkeel
{

/// Media types of the answers of the platform and of targets.
inline constexpr const char* document_media_type = "application/toml";
inline constexpr const char* report_media_type = "application/json";

/// Answer of a watch: no later version was published.
struct index_unchanged
{
    friend auto operator<=>(const index_unchanged&,
                            const index_unchanged&) = default;
};

using index_answer = std::variant<std::string, index_unchanged, http_failure>;
using text_answer = std::variant<std::string, http_failure>;

/// Client of the configuration service and of the VM list. It makes one call at
/// a time, so a thread that watches and one that reads chunks need a client
/// each.
class configuration_client
{
public:
    /// `timeout` limits each call; for a watch its wait is added.
    explicit configuration_client(endpoint platform, duration timeout = 5s);

    /// `GET /v1/index?after=<version>&wait=<s>`: the index, or
    /// `index_unchanged` (status 204) if no version after `after` was published
    /// within `wait`. A faulty service may answer at once with an index that is
    /// not newer than `after`, so the caller delays its next watch
    /// (`watch_delay`).
    index_answer watch_index(set_version after, std::chrono::seconds wait);

    /// `GET /v1/chunks/<name>/<hash>`. `set_store` verifies the content.
    text_answer read_chunk(const std::string& name, const std::string& hash);

    /// `GET /v1/vms`.
    text_answer read_vms();

    /// Aborts the present call and all later ones. May be called by any thread.
    void stop();

private:
    text_answer read_text(std::string path);

    endpoint platform_;
    duration timeout_;
    http_client reader_;
};

/// Client of targets' load reports. It makes one call at a time.
class report_client
{
public:
    /// Longer reports are rejected; a report has about 100 bytes.
    static constexpr std::size_t max_report_bytes = 16UL * 1024;

    /// `timeout` limits each call; a VM polls about 10 targets in turn.
    explicit report_client(duration timeout = 500ms);

    /// `GET /load` at the target's report endpoint.
    text_answer read_load(const endpoint& report);

    /// Aborts the present call and all later ones. May be called by any thread.
    void stop();

private:
    duration timeout_;
    http_client reader_;
};

} // namespace catkinkeel
