#include "plantaindrift/runtime/HttpServer.h"

#include "plantaindrift/base/Error.h"

#include <restinio/all.hpp>

namespace plantaindrift {

namespace {

    // The server and its handlers run on the event loop's only thread.
    struct ServerTraits : public restinio::default_single_thread_traits_t {
        using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    };

    using Server = restinio::http_server_t<ServerTraits>;
    using ServerSettings = restinio::server_settings_t<ServerTraits>;

    constexpr std::chrono::seconds connectionTimeout { 30 };

    // Status reports of targets have some hundred bytes; no other request has a body.
    constexpr std::uint64_t maximumBodyBytes = 256U << 10U;
    constexpr std::size_t maximumUrlBytes = 8U << 10U;
    constexpr std::size_t maximumHeaderFieldBytes = 8U << 10U;
    constexpr std::size_t maximumHeaderFields = 64;

    HttpRequest toRequest(restinio::request_handle_t const& handle)
    {
        HttpRequest request;
        request.method = handle->header().method().c_str();
        restinio::string_view_t const path = handle->header().path();
        restinio::string_view_t const query = handle->header().query();
        request.path.assign(path.data(), path.size());
        request.query.assign(query.data(), query.size());
        request.body = handle->body();
        return request;
    }

    restinio::request_handling_status_t answer(restinio::request_handle_t const& handle, HttpAnswer&& content)
    {
        restinio::http_status_line_t const line(restinio::http_status_code_t(static_cast<std::uint16_t>(content.status)), content.status < 300 ? "OK" : "Error");
        auto response = handle->create_response(line);
        for (auto const& [name, value] : content.headers)
            response.append_header(name, value);
        return response
            .append_header(restinio::http_field::content_type, content.contentType)
            .set_body(std::move(content.body))
            .connection_close()
            .done();
    }

} // namespace

struct HttpServer::State {
    State(asio::io_context& loop, Endpoint serverAddress, Handler serverHandler)
        : address(serverAddress)
        , handler(std::move(serverHandler))
        , server(restinio::external_io_context(loop), [this](ServerSettings& settings) { configure(settings); })
    {
    }

    void configure(ServerSettings& settings)
    {
        settings.address(formatAddress(address.address))
            .port(address.port)
            .read_next_http_message_timelimit(connectionTimeout)
            .write_http_response_timelimit(connectionTimeout)
            .handle_request_timeout(connectionTimeout)
            .concurrent_accepts_count(1)
            .max_pipelined_requests(1)
            .buffer_size(8192)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                          .max_url_size(maximumUrlBytes)
                                          .max_field_name_size(maximumHeaderFieldBytes)
                                          .max_field_value_size(maximumHeaderFieldBytes)
                                          .max_field_count(maximumHeaderFields)
                                          .max_body_size(maximumBodyBytes))
            .request_handler([this](restinio::request_handle_t const& handle) { return answer(handle, handler(toRequest(handle))); });
    }

    Endpoint address;
    Handler handler;
    Server server;
    bool open { false };
};

HttpServer::HttpServer(asio::io_context& loop, Endpoint address, Handler handler)
    : state_(std::make_unique<State>(loop, address, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

absl::Status HttpServer::start()
{
    try {
        state_->server.open_sync();
        state_->open = true;
    } catch (std::exception const& error) {
        return makeError(ErrorKind::InvalidSettings, "cannot listen for HTTP on " + formatEndpoint(state_->address) + ": " + error.what() + "; choose a free address in the settings");
    }
    return absl::OkStatus();
}

void HttpServer::stop()
{
    if (!state_->open)
        return;
    state_->open = false;
    state_->server.close_sync();
}

} // namespace plantaindrift
