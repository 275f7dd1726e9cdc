#include "soak/router.hpp"

#include "catkinkeel/base/hash.hpp"
#include "soak/asio_endpoint.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr duration probe_period = 500ms;
constexpr duration probe_timeout = 400ms;

std::uint32_t choose_by_remainder(std::uint64_t hash,
                                  const std::vector<std::uint32_t>& rotation)
{
    return rotation[hash % rotation.size()];
}

/// Rendezvous hashing.
std::uint32_t
choose_by_highest_weight(std::uint64_t hash,
                         const std::vector<std::uint32_t>& rotation)
{
    return *std::ranges::max_element(rotation, {},
                                     [hash](std::uint32_t daemon)
                                     { return hash_pair(hash, daemon); });
}

constexpr std::array routing_policies{
    routing_policy{"mod", choose_by_remainder},
    routing_policy{"steady", choose_by_highest_weight}};

const routing_policy& find_routing_policy(const soak_plan& plan)
{
    return *std::ranges::find(routing_policies, plan.routing_policy_name(),
                              &routing_policy::name);
}

/// One HTTP readiness probe.
class readiness_probe : public std::enable_shared_from_this<readiness_probe>
{
public:
    readiness_probe(asio::io_context& context,
                    std::function<void(bool)> on_finished)
        : socket_(context),
          timer_(context),
          on_finished_(std::move(on_finished))
    {
    }

    void start(const endpoint& probe_endpoint)
    {
        timer_.expires_after(probe_timeout);
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error)
                {
                    self->finish(false);
                }
            });
        socket_.async_connect(to_asio_endpoint<tcp>(probe_endpoint),
                              [self = shared_from_this()](error_code error) {
                                  error ? self->finish(false)
                                        : self->send_request();
                              });
    }

private:
    void send_request()
    {
        asio::async_write(
            socket_, asio::buffer(request_),
            [self = shared_from_this()](error_code error, std::size_t)
            { error ? self->finish(false) : self->read_status_line(); });
    }
    void read_status_line()
    {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(response_), "\r\n",
            [self = shared_from_this()](error_code error, std::size_t)
            {
                self->finish(!error && self->response_.find(" 200 ") !=
                                           std::string::npos);
            });
    }
    void finish(bool ready)
    {
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        if (on_finished_)
        {
            std::exchange(on_finished_, nullptr)(ready);
        }
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::function<void(bool)> on_finished_;
    std::string request_ = "GET /-/ready HTTP/1.1\r\nHost: soak\r\n"
                           "Connection: close\r\n\r\n";
    std::string response_;
};

} // namespace

router::router(asio::io_context& context, const soak_plan& plan)
    : context_(context),
      plan_(plan),
      policy_(find_routing_policy(plan)),
      timer_(context),
      probes_(plan.daemon_count)
{
}

void router::start()
{
    probe_all();
}

void router::probe_all()
{
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        std::make_shared<readiness_probe>(
            context_,
            [this, i](bool ready)
            {
                probe_state& state = probes_[i];
                state.failures = ready ? 0
                                       : std::min(state.failures + 1,
                                                  probe_failure_threshold);
            })
            ->start(plan_.readiness_endpoint(i));
    }
    timer_.expires_after(probe_period);
    timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                probe_all();
            }
        });
}

std::optional<std::uint32_t>
router::choose_daemon(const endpoint& caller, const endpoint& reference) const
{
    std::vector<std::uint32_t> rotation;
    for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
    {
        if (in_rotation(i))
        {
            rotation.push_back(i);
        }
    }
    if (rotation.empty())
    {
        return std::nullopt;
    }
    if (rotation.size() * 2 < plan_.daemon_count)
    {
        // Fails open: chooses among all daemons, ready or not. So few ready
        // daemons couldn't handle the load, and the fault may be in the probes.
        rotation.clear();
        for (std::uint32_t i = 0; i < plan_.daemon_count; ++i)
        {
            rotation.push_back(i);
        }
    }
    const std::uint64_t hash =
        hash_pair(hash_pair(caller.address.value, caller.port),
                  hash_pair(reference.address.value, reference.port));
    return policy_.choose(hash, rotation);
}

} // namespace catkinkeel::soak
