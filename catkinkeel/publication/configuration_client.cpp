#include "catkinkeel/publication/configuration_client.hpp"

#include <utility>

namespace catkinkeel
{

namespace
{

/// Whether `text` may be part of a request path without altering the request.
/// Names and hashes from a checked index always may.
bool is_valid_path_segment(const std::string& text)
{
    return !text.empty() &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
               std::string::npos;
}

text_answer to_text_answer(http_result result)
{
    if (auto* failed = std::get_if<http_failure>(&result))
    {
        return std::move(*failed);
    }
    auto& answer = std::get<http_response>(result);
    if (answer.status != 200)
    {
        return http_failure{http_failure_kind::bad_status, answer.status,
                            "the HTTP status is not 200"};
    }
    return std::move(answer.body);
}

} // namespace

configuration_client::configuration_client(endpoint platform, duration timeout)
    : platform_(platform), timeout_(timeout)
{
}

index_answer configuration_client::watch_index(set_version after,
                                               std::chrono::seconds wait)
{
    http_result result =
        reader_.get({.server = platform_,
                     .path = "/v1/index?after=" + std::to_string(after.value) +
                             "&wait=" + std::to_string(wait.count()),
                     .media_type = document_media_type,
                     .timeout = timeout_ + wait});
    if (auto* failed = std::get_if<http_failure>(&result))
    {
        return std::move(*failed);
    }
    auto& answer = std::get<http_response>(result);
    if (answer.status == 204)
    {
        return index_unchanged{};
    }
    return std::move(answer.body);
}

text_answer configuration_client::read_chunk(const std::string& name,
                                             const std::string& hash)
{
    if (!is_valid_path_segment(name) || !is_valid_path_segment(hash))
    {
        return http_failure{
            http_failure_kind::wrong_content, 0,
            "the name or hash of the chunk is not a valid path segment"};
    }
    return read_text("/v1/chunks/" + name + "/" + hash);
}

text_answer configuration_client::read_vms()
{
    return read_text("/v1/vms");
}

text_answer configuration_client::read_text(std::string path)
{
    return to_text_answer(reader_.get({.server = platform_,
                                       .path = std::move(path),
                                       .media_type = document_media_type,
                                       .timeout = timeout_}));
}

void configuration_client::stop()
{
    reader_.stop();
}

report_client::report_client(duration timeout) : timeout_(timeout) {}

text_answer report_client::read_load(const endpoint& report)
{
    return to_text_answer(reader_.get({.server = report,
                                       .path = "/load",
                                       .media_type = report_media_type,
                                       .timeout = timeout_,
                                       .max_body_bytes = max_report_bytes}));
}

void report_client::stop()
{
    reader_.stop();
}

} // namespace catkinkeel
