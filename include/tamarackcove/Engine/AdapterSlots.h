#pragma once

#include "tamarackcove/Base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackcove {

enum class SlotState {
    Loading,
    Resident,
};

enum class LoadDecision {
    /// The caller fetches the weights and then calls finishLoad().
    Fetch,
    AlreadyLoading,
    AlreadyResident,
    NoFreeSlot,
    StaleFencing,
};

enum class UnloadDecision {
    Unloaded,
    /// The adapter was unloaded while requests were running on it; the caller must abort them. A correct system never
    /// sends such an order: tests check that unloadsInUse() stays 0.
    UnloadedInUse,
    NotLoaded,
    StillLoading,
    StaleFencing,
};

/// The adapter slots of one engine, and the highest fencing number of the load and unload orders it has received.
///
/// Thread safety: used on one thread.
class AdapterSlots
{
public:
    struct Slot
    {
        SlotState state = SlotState::Loading;
        /// Requests that are queued or running on the adapter.
        int running = 0;
    };

    /// An order is stale if its fencing number is lower than the highest one received. With `refusesStaleOrders` false,
    /// stale orders are counted but still obeyed.
    AdapterSlots(int slots, bool refusesStaleOrders);

    /// Reserves a slot for an adapter, written `name@version`, unless the adapter already has one or none is free.
    LoadDecision load(const std::string &adapter, FencingNumber number);
    /// Marks the adapter as resident, or frees its slot if the load failed. Does nothing if the adapter has no loading
    /// slot any more, for example after clear().
    void finishLoad(const std::string &adapter, bool loaded);
    /// Frees the slot of a resident adapter, even while requests are running on it.
    UnloadDecision unload(const std::string &adapter, FencingNumber number);
    /// Drops every adapter and the highest fencing number, as a cold restart does.
    void clear();

    [[nodiscard]] bool isResident(const std::string &adapter) const;
    /// Adds one to the number of requests on the adapter. Precondition: the adapter is resident.
    void beginRequest(const std::string &adapter);
    /// Subtracts one from the number of requests on the adapter. Does nothing if the adapter has been unloaded.
    void endRequest(const std::string &adapter);

    [[nodiscard]] const std::map<std::string, Slot> &slots() const;
    [[nodiscard]] std::vector<std::string> residentAdapters() const;
    [[nodiscard]] FencingNumber highestFencingNumber() const;
    [[nodiscard]] int capacity() const;
    /// Number of times unload() has returned UnloadDecision::UnloadedInUse.
    [[nodiscard]] std::uint64_t unloadsInUse() const;
    /// Number of orders with a stale fencing number so far, refused or not.
    [[nodiscard]] std::uint64_t staleOrders() const;

private:
    /// Records the fencing number of an order. Returns whether the order is accepted.
    bool acceptOrder(FencingNumber number);

    int m_capacity;
    bool m_refusesStaleOrders;
    FencingNumber m_highestFencingNumber;
    std::uint64_t m_unloadsInUse = 0;
    std::uint64_t m_staleOrders = 0;
    std::map<std::string, Slot> m_slots;
};

} // namespace tamarackcove
