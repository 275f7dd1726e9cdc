#include "standins/platform_standin.hpp"

#include "catkinkeel/base/time.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace catkinkeel
{

namespace
{

struct http_response
{
    int status = 200;
    std::string body;
    const char* media_type = "application/toml";
};

struct published_version
{
    set_version version;
    set_documents documents;
};

/// Returns the number after `key=` in a query string, or 0 if there is none.
std::uint64_t number_in_query(const char* query, std::string_view key)
{
    const std::string_view text = query == nullptr ? "" : query;
    const std::string name = std::string(key) + "=";
    const std::size_t at = text.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
    {
        const std::string_view digits = text.substr(at + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    }
    return number;
}

std::string read_body(mg_connection* connection)
{
    std::string body;
    std::array<char, 8192> buffer{};
    int count = 0;
    while (body.size() <= max_set_bytes &&
           (count = mg_read(connection, buffer.data(), buffer.size())) > 0)
    {
        body.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return body;
}

int send(mg_connection* connection, const http_response& response)
{
    const std::string head =
        "HTTP/1.1 " + std::to_string(response.status) + " " +
        mg_get_response_code_text(connection, response.status) +
        "\r\nContent-Type: " + response.media_type +
        "\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\nConnection: close\r\n\r\n";
    const std::string encoded =
        response.status == 204 ? head : head + response.body;
    mg_write(connection, encoded.data(), encoded.size());
    return response.status;
}

} // namespace

struct platform_standin::state
{
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    standin_mode mode = standin_mode::normal;
    std::optional<published_version> newest;
    std::optional<published_version> previous;
    /// The newest version when the mode was last set; shown in mode `stale`.
    std::optional<published_version> stale_version;
    std::string vms;
    standin_read_counts counts;
    mg_context* server = nullptr;
    std::uint16_t port = 0;

    /// Returns the version that readers see in the current mode. The caller
    /// must hold `mutex`.
    [[nodiscard]] const std::optional<published_version>&
    visible_version() const
    {
        if (mode == standin_mode::stale)
        {
            return stale_version;
        }
        return mode == standin_mode::older && previous ? previous : newest;
    }

    http_response index(const mg_request_info& request)
    {
        const std::uint64_t after =
            number_in_query(request.query_string, "after");
        const std::uint64_t wait = std::min<std::uint64_t>(
            number_in_query(request.query_string, "wait"), 600);
        std::unique_lock lock(mutex);
        ++counts.index;
        changed.wait_for(lock, std::chrono::seconds(wait),
                         [&]
                         {
                             const bool is_newer =
                                 visible_version() &&
                                 visible_version()->version.value > after;
                             return stopping || is_newer ||
                                    mode == standin_mode::older ||
                                    mode == standin_mode::error;
                         });
        const auto& current = visible_version();
        const bool has_response = current && (current->version.value > after ||
                                              mode == standin_mode::older);
        return has_response ? http_response{200, current->documents.index}
                            : http_response{204, ""};
    }

    http_response chunk(std::string_view path)
    {
        const std::string_view hash = path.substr(path.rfind('/') + 1);
        const std::lock_guard lock(mutex);
        ++counts.chunks;
        for (const auto* each : {&newest, &previous, &stale_version})
        {
            if (!*each)
            {
                continue;
            }
            for (const auto& chunk : (*each)->documents.chunks)
            {
                if (chunk.entry.hash == hash)
                {
                    return {200, chunk.text};
                }
            }
        }
        return {404, "no such chunk\n"};
    }

    http_response vm_list()
    {
        const std::lock_guard lock(mutex);
        ++counts.vms;
        return {200, vms};
    }
};

namespace
{

using control_handler = std::string (*)(platform_standin&, const std::string&);

std::string put_set(platform_standin& standin, const std::string& body)
{
    const auto read = parse_whole_set(body, "set");
    if (const auto* errors = std::get_if<std::vector<document_error>>(&read))
    {
        std::string text;
        for (const document_error& each : *errors)
        {
            text += to_string(each) + "\n";
        }
        return text;
    }
    standin.publish(std::get<published_objects>(read));
    return "";
}

std::string put_vms(platform_standin& standin, const std::string& body)
{
    standin.set_vms(body);
    return "";
}

std::string put_mode(platform_standin& standin, const std::string& body)
{
    const auto mode = parse_standin_mode(body);
    if (!mode)
    {
        return mode.error().message + "\n";
    }
    standin.set_mode(mode.value());
    return "";
}

/// Control paths and their handlers, which return an error text or an empty
/// string.
constexpr std::array<std::pair<std::string_view, control_handler>, 3>
    control_handlers{{
        {"/control/set", put_set},
        {"/control/vms", put_vms},
        {"/control/mode", put_mode},
    }};

} // namespace

outcome<standin_mode> parse_standin_mode(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, standin_mode>, 4>
        mode_names{{{"normal", standin_mode::normal},
                    {"stale", standin_mode::stale},
                    {"older", standin_mode::older},
                    {"error", standin_mode::error}}};
    for (const auto& [name, mode] : mode_names)
    {
        if (name == text)
        {
            return mode;
        }
    }
    return failure{failure_kind::invalid_input,
                   "'" + std::string(text) +
                       "' is not a mode (normal, stale, older or error)"};
}

platform_standin::platform_standin(std::unique_ptr<state> initial_state)
    : state_(std::move(initial_state))
{
}

outcome<std::shared_ptr<platform_standin>>
platform_standin::start(std::uint16_t port, unsigned max_requests)
{
    const std::shared_ptr<platform_standin> standin(
        new platform_standin(std::make_unique<state>()));
    mg_init_library(0);
    const std::string address = "127.0.0.1:" + std::to_string(port);
    const std::string threads = std::to_string(max_requests);
    std::array<const char*, 9> options{"listening_ports",
                                       address.c_str(),
                                       "num_threads",
                                       threads.c_str(),
                                       "request_timeout_ms",
                                       "10000",
                                       "enable_keep_alive",
                                       "no",
                                       nullptr};
    const mg_callbacks callbacks{};
    standin->state_->server = mg_start(&callbacks, nullptr, options.data());
    if (standin->state_->server == nullptr)
    {
        return failure{failure_kind::unavailable,
                       "cannot listen on " + address};
    }
    mg_server_port bound{};
    mg_get_server_ports(standin->state_->server, 1, &bound);
    standin->state_->port = static_cast<std::uint16_t>(bound.port);

    mg_set_request_handler(
        standin->state_->server, "/v1/",
        [](mg_connection* connection, void* context)
        {
            auto& self = *static_cast<state*>(context);
            const mg_request_info& request = *mg_get_request_info(connection);
            const std::string_view path = request.local_uri;
            http_response response{404, "no such path\n"};
            if (path == "/v1/index")
            {
                response = self.index(request);
            }
            else if (path.starts_with("/v1/chunks/"))
            {
                response = self.chunk(path);
            }
            else if (path == "/v1/vms")
            {
                response = self.vm_list();
            }
            {
                const std::lock_guard lock(self.mutex);
                if (self.mode == standin_mode::error)
                {
                    response = {503, "unavailable\n"};
                }
                self.counts.failed += response.status >= 400 ? 1 : 0;
            }
            return send(connection, response);
        },
        standin->state_.get());
    mg_set_request_handler(
        standin->state_->server, "/control/",
        [](mg_connection* connection, void* context)
        {
            const mg_request_info& request = *mg_get_request_info(connection);
            for (const auto& [path, apply] : control_handlers)
            {
                if (path == request.local_uri &&
                    std::string_view(request.request_method) == "PUT")
                {
                    std::string errors =
                        apply(*static_cast<platform_standin*>(context),
                              read_body(connection));
                    return send(connection,
                                errors.empty()
                                    ? http_response{204, ""}
                                    : http_response{400, std::move(errors),
                                                    "text/plain"});
                }
            }
            return send(connection, {404, "no such path\n"});
        },
        standin.get());
    return standin;
}

platform_standin::~platform_standin()
{
    {
        const std::lock_guard lock(state_->mutex);
        state_->stopping = true;
    }
    state_->changed.notify_all();
    if (state_->server != nullptr)
    {
        mg_stop(state_->server);
    }
    mg_exit_library();
}

endpoint platform_standin::address() const
{
    return {{0x7f000001}, state_->port};
}

void platform_standin::publish(set_version version, set_documents documents)
{
    {
        const std::lock_guard lock(state_->mutex);
        state_->previous = std::exchange(
            state_->newest, published_version{version, std::move(documents)});
    }
    state_->changed.notify_all();
}

void platform_standin::publish(const published_objects& objects)
{
    publish(objects.version, split_set(objects));
}

void platform_standin::set_vms(std::string text)
{
    const std::lock_guard lock(state_->mutex);
    state_->vms = std::move(text);
}

void platform_standin::set_mode(standin_mode mode)
{
    {
        const std::lock_guard lock(state_->mutex);
        state_->mode = mode;
        state_->stale_version = state_->newest;
    }
    state_->changed.notify_all();
}

standin_read_counts platform_standin::reads() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->counts;
}

} // namespace catkinkeel
