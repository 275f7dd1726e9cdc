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

/// One proxied connection. Its two ways are pumped apart from each other.
class proxy_session : public std::enable_shared_from_this<proxy_session>
{
public:
    proxy_session(tcp::socket client, const fault_proxy& owner)
        : server_(client.get_executor()),
          requests_(client.get_executor()),
          answers_(client.get_executor()),
          client_(std::move(client)),
          owner_(owner)
    {
    }

    void start(const tcp::endpoint& server)
    {
        if (owner_.mode() == link_mode::reset)
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
                self->pump(self->client_, self->server_, self->requests_);
                self->pump(self->server_, self->client_, self->answers_);
            });
    }

    /// A reset instead of the usual end.
    void reset()
    {
        error_code ignored;
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    struct way
    {
        explicit way(const tcp::socket::executor_type& executor)
            : timer(executor)
        {
        }
        asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        /// Bytes were lost, so nothing that follows may arrive.
        bool broken = false;
    };

    void pump(tcp::socket& from, tcp::socket& to, way& through)
    {
        from.async_read_some(asio::buffer(through.buffer),
                             [self = shared_from_this(), &from, &to,
                              &through](error_code error, std::size_t size)
                             {
                                 if (error)
                                 {
                                     self->ended(through);
                                     return;
                                 }
                                 self->pass_on(from, to, through, size);
                             });
    }

    void pass_on(tcp::socket& from, tcp::socket& to, way& through,
                 std::size_t size)
    {
        through.broken |=
            owner_.mode() == link_mode::silent ||
            (owner_.mode() == link_mode::answers_cut && &through == &answers_);
        if (through.broken)
        {
            pump(from, to, through);
            return;
        }
        through.timer.expires_after(
            owner_.mode() == link_mode::delayed ? proxy_delay : duration{});
        through.timer.async_wait(
            [self = shared_from_this(), &from, &to, &through, size](error_code)
            {
                asio::async_write(
                    to, asio::buffer(through.buffer, size),
                    [self, &from, &to, &through](error_code error, std::size_t)
                    {
                        if (error)
                        {
                            self->close();
                            return;
                        }
                        self->pump(from, to, through);
                    });
            });
    }

    /// The end of a connection is news too, which a silent link hides.
    void ended(const way& through)
    {
        if (!through.broken)
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
    way requests_;
    way answers_;
    tcp::socket client_;
    const fault_proxy& owner_;
};

fault_proxy::fault_proxy(asio::io_context& context, const endpoint& listen,
                         const endpoint& server)
    : acceptor_(context, to_asio<tcp>(listen)), server_(to_asio<tcp>(server))
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
                std::erase_if(sessions_,
                              [](const auto& each) { return each.expired(); });
                const auto session =
                    std::make_shared<proxy_session>(std::move(socket), *this);
                sessions_.push_back(session);
                session->start(server_);
            }
            accept();
        });
}

void fault_proxy::set_mode(link_mode mode)
{
    mode_ = mode;
    if (mode != link_mode::reset)
    {
        return;
    }
    for (const auto& each : std::exchange(sessions_, {}))
    {
        if (const auto session = each.lock())
        {
            session->reset();
        }
    }
}

} // namespace catkinkeel::soak
