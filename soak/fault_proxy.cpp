#include "soak/fault_proxy.hpp"

#include "soak/asio_endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace catkinkeel::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// One proxied connection. Its two directions are forwarded independently.
class proxy_connection : public std::enable_shared_from_this<proxy_connection>
{
public:
    proxy_connection(tcp::socket client, const fault_proxy& proxy)
        : server_(client.get_executor()),
          requests_(client.get_executor()),
          responses_(client.get_executor()),
          client_(std::move(client)),
          proxy_(proxy)
    {
    }

    void start(const tcp::endpoint& server)
    {
        if (proxy_.mode() == proxy_mode::reset)
        {
            reset();
            return;
        }
        server_.async_connect(
            server,
            [self = shared_from_this()](error_code error)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->read_next(self->client_, self->server_, self->requests_);
                self->read_next(self->server_, self->client_, self->responses_);
            });
    }

    /// Closes the connection to the client with a TCP reset.
    void reset()
    {
        error_code ignored;
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    struct direction_state
    {
        explicit direction_state(const tcp::socket::executor_type& executor)
            : timer(executor)
        {
        }
        asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        /// Bytes were dropped, so that none that follow them may be forwarded.
        bool data_lost = false;
    };

    void read_next(tcp::socket& from, tcp::socket& to,
                   direction_state& direction)
    {
        from.async_read_some(asio::buffer(direction.buffer),
                             [self = shared_from_this(), &from, &to,
                              &direction](error_code error, std::size_t size)
                             {
                                 if (error)
                                 {
                                     self->handle_read_error(direction);
                                     return;
                                 }
                                 self->write(from, to, direction, size);
                             });
    }

    void write(tcp::socket& from, tcp::socket& to, direction_state& direction,
               std::size_t size)
    {
        direction.data_lost |= proxy_.mode() == proxy_mode::drop_all ||
                               (proxy_.mode() == proxy_mode::drop_responses &&
                                &direction == &responses_);
        if (direction.data_lost)
        {
            read_next(from, to, direction);
            return;
        }
        direction.timer.expires_after(
            proxy_.mode() == proxy_mode::delay_all ? proxy_delay : duration{});
        direction.timer.async_wait(
            [self = shared_from_this(), &from, &to, &direction,
             size](error_code)
            {
                asio::async_write(to, asio::buffer(direction.buffer, size),
                                  [self, &from, &to,
                                   &direction](error_code error, std::size_t)
                                  {
                                      if (error)
                                      {
                                          self->close();
                                          return;
                                      }
                                      self->read_next(from, to, direction);
                                  });
            });
    }

    /// Doesn't close the connection after bytes were dropped: a link that drops
    /// packets also hides the end of a connection.
    void handle_read_error(const direction_state& direction)
    {
        if (!direction.data_lost)
        {
            close();
        }
    }

    void close()
    {
        error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
    }

    tcp::socket server_;
    direction_state requests_;
    direction_state responses_;
    tcp::socket client_;
    const fault_proxy& proxy_;
};

fault_proxy::fault_proxy(asio::io_context& context, const endpoint& listen,
                         const endpoint& server)
    : acceptor_(context, to_asio_endpoint<tcp>(listen)),
      server_(to_asio_endpoint<tcp>(server))
{
    accept();
}

fault_proxy::~fault_proxy() = default;

void fault_proxy::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (!error)
            {
                std::erase_if(connections_,
                              [](const auto& each) { return each.expired(); });
                const auto connection = std::make_shared<proxy_connection>(
                    std::move(socket), *this);
                connections_.push_back(connection);
                connection->start(server_);
            }
            accept();
        });
}

void fault_proxy::set_mode(proxy_mode mode)
{
    mode_ = mode;
    if (mode != proxy_mode::reset)
    {
        return;
    }
    for (const auto& each : std::exchange(connections_, {}))
    {
        if (const auto connection = each.lock())
        {
            connection->reset();
        }
    }
}

} // namespace catkinkeel::soak
