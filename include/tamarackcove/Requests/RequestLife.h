#pragma once

#include <memory>

namespace tamarackcove {

/// The life cycle of one request, as a table of states and events. It decides what may still be promised to the
/// caller: "not run" only as long as no byte of the request can have reached a target.
///
/// An event that the present phase does not allow ends the process in a debug build and is ignored otherwise.
/// Thread safety: used on one thread.
class RequestLife
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

    explicit RequestLife(bool repeatable);
    ~RequestLife();
    RequestLife(const RequestLife &) = delete;
    RequestLife &operator=(const RequestLife &) = delete;

    void admit();
    void waitForLoad();
    void loadEnded();
    /// Its idempotency key is reserved; the reservation stays over later attempts.
    void reserve();
    /// Bytes of it may reach a target from now on.
    void dispatch();
    /// The caller gets the first piece of a response; no other attempt can follow.
    void stream();
    void breakStream();
    void resume();
    /// The attempt ended and certainly did not run: nothing was sent, or the target said so.
    void notRun();
    /// The attempt ended and may have run.
    void lose();
    void finish();
    /// Gives up: RefusedNotRun when no attempt can have run, else OutcomeUnknown.
    void refuse();

    [[nodiscard]] Phase phase() const;
    [[nodiscard]] bool reserved() const;
    /// Whether another attempt may follow: the phase is one before dispatch.
    [[nodiscard]] bool mayDispatch() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
