#pragma once

#include <memory>

namespace tamarackcove {

/// State machine of one request. It decides whether another attempt may follow, and whether the caller may be told "not
/// run": only if no attempt can have run.
///
/// An event that the current phase does not allow fails an assertion in a debug build and is ignored otherwise.
/// Thread safety: used on one thread.
class RequestLifecycle
{
public:
    enum class Phase {
        Received,
        Admitted,
        WaitingForLoad,
        Reserved,
        Dispatched,
        Streaming,
        Resuming,
        Finished,
        RefusedNotRun,
        OutcomeUnknown,
    };

    explicit RequestLifecycle(bool repeatable);
    ~RequestLifecycle();
    RequestLifecycle(const RequestLifecycle &) = delete;
    RequestLifecycle &operator=(const RequestLifecycle &) = delete;

    /// Admission control admitted the request.
    void admit();
    /// The request begins to wait for its adapter to be loaded.
    void waitForLoad();
    /// The adapter load that the request waited for has ended, successfully or not.
    void endLoadWait();
    /// The idempotency key of the request is reserved; the reservation remains for later attempts.
    void reserve();
    /// An attempt begins: bytes of the request may reach a target from now on.
    void dispatch();
    /// The caller gets the first piece of a response; no other attempt may follow.
    void startStream();
    /// The connection to the target broke or stalled; the attempt may be resumed on the same target.
    void breakStream();
    /// The target resumed the attempt.
    void resume();
    /// The attempt ended without running: nothing was sent, or the target reported that the request did not run.
    void recordNotRun();
    /// The attempt ended with an unknown outcome: it may have run. Another attempt may follow if the request is
    /// repeatable and the caller has got no piece of a response.
    void recordLostResponse();
    /// The response is complete.
    void finish();
    /// Ends the request without a response: in RefusedNotRun if no attempt can have run, else in OutcomeUnknown.
    void refuse();

    [[nodiscard]] Phase phase() const;
    /// Whether the idempotency key of the request is reserved.
    [[nodiscard]] bool hasReservedKey() const;
    /// Whether an attempt may be dispatched now, the first or another one.
    [[nodiscard]] bool mayDispatch() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
