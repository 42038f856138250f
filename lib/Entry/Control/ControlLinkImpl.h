#pragma once

#include "tamarackcove/Entry/Control/CallChannel.h"
#include "tamarackcove/Entry/Control/ControlHosts.h"
#include "tamarackcove/Entry/Control/ControlLink.h"
#include "tamarackcove/Entry/Control/HeldConfiguration.h"
#include "tamarackcove/Residency/StorePermits.h"

#include <boost/asio/awaitable.hpp>
#include <random>

namespace tamarackcove {

class FramedConnection;
struct ConfigMessage;

struct ControlLink::Impl
{
    Impl(Supervisor &parent, ControlOptions linkOptions, Hooks linkHooks);

    /// The task of one control host: connects, watches, and reconnects after a failure.
    boost::asio::awaitable<void> watchHost(std::size_t host);
    /// Watches the configuration on one connection until it fails.
    boost::asio::awaitable<void> watch(std::size_t host, FramedConnection &connection);
    /// Reads all parts of one answer. Returns false when the connection cannot be used any more.
    boost::asio::awaitable<bool> readAnswer(std::size_t host, FramedConnection &connection, milliseconds timeout);
    void recordHostStatus(std::size_t host, const ConfigMessage &message);
    void addRevision(HeldConfiguration::Parts parts);
    void handleNewRevision();
    void notifyInForceChanged();

    boost::asio::awaitable<Result<CallReservation, ControlError>> reserveCall(std::string key, std::uint64_t digest);
    boost::asio::awaitable<Result<void, ControlError>> completeCall(std::string key, int status,
                                                                    std::string contentType, std::string body);
    boost::asio::awaitable<Result<void, ControlError>> releaseCall(std::string key);
    boost::asio::awaitable<Result<StorePermit, ControlError>> requestPermit(Zone zone, FencingNumber number,
                                                                            StorePermit wanted);
    boost::asio::awaitable<Result<bool, ControlError>> requestZoneVote(Zone zone, EntryId candidate,
                                                                       FencingNumber number, milliseconds lease);
    /// Sends a report in a task of its own, which repeats it until it is answered or ReportTimeout has passed.
    void report(Message message);
    [[nodiscard]] bool connected() const;
    std::string makeAttemptId();

    Supervisor &supervisor;
    ControlOptions options;
    Hooks hooks;
    ControlHosts hosts;
    CallChannel channel;
    HeldConfiguration configuration;
    std::mt19937_64 random;
    std::uint64_t attemptCounter = 0;
    std::uint64_t lastReportNumber = 0;
    std::size_t pendingReports = 0;
    /// Set while one task fetches the first configuration, which may be large; the other tasks wait for it.
    bool fetchingFirstConfiguration = false;

    /// The fencing number of the last store permit request. The next three members describe the newest permit granted
    /// under this number; its limits are reduced to what the coordinator still requests.
    FencingNumber permitFencingNumber;
    PermitId permitStamp;
    LoadLimits grantedLimits;
    TimePoint permitValidUntil;
    LoadLimits zoneQuota;
    FencingNumber highestVotedNumber;
    std::uint64_t watchBytes = 0;
};

} // namespace tamarackcove
