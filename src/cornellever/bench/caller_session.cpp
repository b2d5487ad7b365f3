#include "cornellever/bench/caller_session.hpp"

namespace cornellever::bench {

caller_session::caller_session(asio::any_io_executor executor, std::vector<tcp::endpoint> proxies,
                               target_database target)
    : m_executor{std::move(executor)}
    , m_proxies{std::move(proxies)}
    , m_links(m_proxies.size())
    , m_target{std::move(target)} {}

asio::awaitable<result<Json::Value>> caller_session::call(std::size_t index, std::string_view method,
                                                          Json::Value params, std::chrono::milliseconds deadline) {
    auto& link = m_links.at(index);
    if (!link || !link->usable() || link->stale()) {
        link = std::make_unique<rpc::channel>(m_executor, m_proxies[index]);
    }
    params["service"] = m_target.service;
    params["database"] = m_target.database;
    params["session"] = m_session_token;
    auto answer = co_await link->call(method, params, deadline);
    if (answer && answer->isObject() && answer->isMember("session")) {
        m_session_token = (*answer)["session"];
    }
    co_return answer;
}

} // namespace cornellever::bench
