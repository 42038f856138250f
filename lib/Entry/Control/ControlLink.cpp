#include "tamarackcove/Entry/Control/ControlLink.h"

#include "ControlLinkImpl.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"
#include "tamarackcove/Wire/DeltaCodec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds WriteTimeout = seconds(1);

ControlLink::Impl::Impl(Supervisor &parent, ControlOptions linkOptions, Hooks linkHooks)
    : supervisor(parent)
    , options(std::move(linkOptions))
    , hooks(std::move(linkHooks))
    , hosts(options.hosts)
    , channel(options, hosts)
    , random(options.seed ^ std::random_device{}())
{
}

static asio::awaitable<void> sleepFor(milliseconds time)
{
    Timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ControlLink::Impl::watchHost(std::size_t host)
{
    auto backoff = options.firstBackoff;
    while (true) {
        auto connected = co_await FramedConnection::connect(hosts.endpoint(host), options.connectTimeout);
        if (connected.has_value()) {
            const auto connectedAt = Clock::now();
            co_await watch(host, *connected.value());
            // The backoff is reset only after a connection that lasted, so that it also grows for a host that accepts
            // connections and closes them at once.
            backoff = Clock::now() - connectedAt > options.maxBackoff ? options.firstBackoff : backoff;
            LogLine(LogLevel::Warning, "control_host_lost").add("host", hosts.endpoint(host).toString());
        }
        hosts.recordFailure(host);
        // The jitter keeps entries that lost the same host from reconnecting at the same instant.
        const auto jitter = std::uniform_int_distribution<std::int64_t>(backoff.count() / 2, backoff.count())(random);
        co_await sleepFor(milliseconds(jitter));
        backoff = std::min(backoff * 2, options.maxBackoff);
    }
}

asio::awaitable<void> ControlLink::Impl::watch(std::size_t host, FramedConnection &connection)
{
    constexpr milliseconds FirstPoll{100};
    std::uint64_t countedBytes = 0;
    struct FirstFetch
    {
        bool &fetching;
        bool isFetcher;
        ~FirstFetch()
        {
            fetching = isFetcher ? false : fetching;
        }
    };
    while (true) {
        const bool fetchesFirst = !configuration.hasReceivedAny();
        if (fetchesFirst && fetchingFirstConfiguration) {
            co_await sleepFor(FirstPoll);
            continue;
        }
        fetchingFirstConfiguration = fetchingFirstConfiguration || fetchesFirst;
        const FirstFetch fetch{fetchingFirstConfiguration, fetchesFirst};
        WatchMessage message;
        message.entry = options.self.value();
        message.zone = options.zone.value();
        message.revision = configuration.newestRevision().value();
        message.inForce = configuration.inForce().revision.value();
        const bool activating = message.inForce < message.revision;
        message.wait = fetchesFirst ? milliseconds(0) : activating ? options.activationWait : options.watchWait;
        const auto timeout = message.wait + options.answerTimeout;
        const auto written = co_await connection.write(toMessage(message), WriteTimeout);
        const bool answered = written.has_value() && co_await readAnswer(host, connection, timeout);
        const auto totalBytes = connection.bytesRead() + connection.bytesWritten();
        watchBytes += totalBytes - countedBytes;
        countedBytes = totalBytes;
        if (!answered) {
            co_return;
        }
    }
}

asio::awaitable<bool> ControlLink::Impl::readAnswer(std::size_t host, FramedConnection &connection,
                                                    milliseconds timeout)
{
    HeldConfiguration::Parts parts;
    bool hasChanges = false;
    while (true) {
        const auto received = co_await connection.read(timeout);
        if (received.has_error()) {
            co_return false;
        }
        const auto message = fromMessage<ConfigMessage>(received.value());
        if (message.has_error()) {
            LogLine(LogLevel::Warning, "control_answer_refused").add("reason", message.error().detail);
            co_return false;
        }
        recordHostStatus(host, message.value());
        if (!message.value().delta.is_null()) {
            auto delta = decodeDelta(message.value().delta);
            auto added
                = delta.has_error() ? Result<void, WireError>(delta.error()) : parts.add(std::move(delta).value());
            if (added.has_error()) {
                LogLine(LogLevel::Warning, "control_answer_refused").add("reason", added.error().detail);
                co_return false;
            }
            hasChanges = true;
        }
        if (message.value().last) {
            break;
        }
    }
    if (hasChanges) {
        addRevision(std::move(parts));
    } else if (!configuration.hasReceivedAny()) {
        configuration.recordEmptyConfiguration();
        notifyInForceChanged();
    }
    co_return true;
}

void ControlLink::Impl::recordHostStatus(std::size_t host, const ConfigMessage &message)
{
    hosts.recordStatus(host, message.leads, message.term, Clock::now());
    zoneQuota = {.loadsPerSecond = message.quotaLoadsPerSecond, .concurrentLoads = message.quotaConcurrentLoads};
}

void ControlLink::Impl::addRevision(HeldConfiguration::Parts parts)
{
    // The revision is not newer if another control host has sent it in the meantime.
    if (configuration.addRevision(std::move(parts))) {
        handleNewRevision();
    }
}

void ControlLink::Impl::handleNewRevision()
{
    const auto newest = configuration.newestRevision();
    if (hooks.onRevisionHeld) {
        hooks.onRevisionHeld(newest);
        return;
    }
    configuration.activate(newest);
    notifyInForceChanged();
}

void ControlLink::Impl::notifyInForceChanged()
{
    if (hooks.onInForceChanged) {
        hooks.onInForceChanged(configuration.inForce());
    }
}

ControlLink::ControlLink(Supervisor &supervisor, ControlOptions options, Hooks hooks)
    : m_impl(std::make_unique<Impl>(supervisor, std::move(options), std::move(hooks)))
{
}

ControlLink::~ControlLink() = default;

void ControlLink::start()
{
    auto &impl = *m_impl;
    for (std::size_t host = 0; host < impl.hosts.count(); ++host) {
        impl.supervisor.start("control-" + impl.hosts.endpoint(host).toString(),
                              [&impl, host] { return impl.watchHost(host); }, {.restart = Restart::Always});
    }
}

void ControlLink::activate(Revision revision)
{
    const auto before = m_impl->configuration.inForce().revision;
    m_impl->configuration.activate(revision);
    if (m_impl->configuration.inForce().revision != before) {
        m_impl->notifyInForceChanged();
    }
}

const ServingConfiguration &ControlLink::inForce() const
{
    return m_impl->configuration.inForce();
}

Revision ControlLink::heldRevision() const
{
    return m_impl->configuration.newestRevision();
}

bool ControlLink::hasConfiguration() const
{
    return m_impl->configuration.hasReceivedAny();
}

std::uint64_t ControlLink::watchBytes() const
{
    return m_impl->watchBytes;
}

std::optional<std::pair<Revision, std::string>> ControlLink::exportNewest() const
{
    if (!m_impl->configuration.hasReceivedAny()) {
        return std::nullopt;
    }
    const auto newest = m_impl->configuration.copyNewest();
    std::string bytes;
    nlohmann::json::to_msgpack(encodeDelta(fullDelta(newest)), bytes);
    return std::pair(newest.revision, std::move(bytes));
}

bool ControlLink::importFromPeer(const std::string &bytes)
{
    const auto body = nlohmann::json::from_msgpack(bytes, true, false);
    if (body.is_discarded()) {
        return false;
    }
    auto delta = decodeDelta(body);
    if (delta.has_error() || !delta.value().full) {
        return false;
    }
    HeldConfiguration::Parts parts;
    if (parts.add(std::move(delta).value()).has_error()) {
        return false;
    }
    m_impl->addRevision(std::move(parts));
    return true;
}

} // namespace tamarackcove
