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

std::uint32_t by_remainder(std::uint64_t hash,
                           const std::vector<std::uint32_t>& rotation)
{
    return rotation[hash % rotation.size()];
}

std::uint32_t by_highest_weight(std::uint64_t hash,
                                const std::vector<std::uint32_t>& rotation)
{
    return *std::ranges::max_element(rotation, {},
                                     [hash](std::uint32_t daemon)
                                     { return hash_pair(hash, daemon); });
}

constexpr std::array spreadings{spreading{"mod", by_remainder},
                                spreading{"steady", by_highest_weight}};

const spreading& spreading_of(const soak_plan& plan)
{
    return *std::ranges::find(spreadings, plan.spreading(), &spreading::name);
}

/// One readiness probe.
class probe_session : public std::enable_shared_from_this<probe_session>
{
public:
    probe_session(asio::io_context& context, std::function<void(bool)> done)
        : socket_(context), timer_(context), done_(std::move(done))
    {
    }

    void start(const endpoint& where)
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
        socket_.async_connect(to_asio<tcp>(where),
                              [self = shared_from_this()](error_code error)
                              { error ? self->finish(false) : self->ask(); });
    }

private:
    void ask()
    {
        asio::async_write(
            socket_, asio::buffer(request_),
            [self = shared_from_this()](error_code error, std::size_t)
            { error ? self->finish(false) : self->read(); });
    }
    void read()
    {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(answer_), "\r\n",
            [self = shared_from_this()](error_code error, std::size_t) {
                self->finish(!error &&
                             self->answer_.find(" 200 ") != std::string::npos);
            });
    }
    void finish(bool ready)
    {
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        if (done_)
        {
            std::exchange(done_, nullptr)(ready);
        }
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::function<void(bool)> done_;
    std::string request_ = "GET /-/ready HTTP/1.1\r\nHost: soak\r\n"
                           "Connection: close\r\n\r\n";
    std::string answer_;
};

} // namespace

router::router(asio::io_context& context, const soak_plan& plan)
    : context_(context),
      plan_(plan),
      spread_(spreading_of(plan)),
      timer_(context),
      probed_(plan.daemons)
{
}

void router::start()
{
    probe_all();
}

void router::probe_all()
{
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
    {
        std::make_shared<probe_session>(
            context_,
            [this, i](bool ready)
            {
                probe& known = probed_[i];
                known.misses =
                    ready ? 0 : std::min(known.misses + 1, misses_until_out);
            })
            ->start(plan_.readiness(i));
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

std::optional<std::uint32_t> router::choose(const endpoint& caller,
                                            const endpoint& reference) const
{
    std::vector<std::uint32_t> rotation;
    for (std::uint32_t i = 0; i < plan_.daemons; ++i)
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
    if (rotation.size() * 2 < plan_.daemons)
    {
        // So few cannot bear the load, and the probes may be what fails.
        rotation.clear();
        for (std::uint32_t i = 0; i < plan_.daemons; ++i)
        {
            rotation.push_back(i);
        }
    }
    const std::uint64_t hash =
        hash_pair(hash_pair(caller.address.value, caller.port),
                  hash_pair(reference.address.value, reference.port));
    return spread_.choose(hash, rotation);
}

} // namespace catkinkeel::soak
