#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <memory>

namespace redwingwheel::kernel {

/// Memory that work in progress may hold together. A single piece gets only a part of what is free,
/// so that large pieces are refused while small ones still find room. May be used from any thread.
class byte_budget {
public:
    /// Held while the memory is in use; releases it when it is destroyed, on any thread.
    using lease = std::shared_ptr<const void>;

    /// At most `limit` bytes in all, and for each piece the free bytes divided by `largest_part`.
    byte_budget(std::size_t limit, std::size_t largest_part)
        : max_bytes(limit), part(largest_part), taken(std::make_shared<std::atomic<std::size_t>>(0))
    {
    }

    /// Takes `bytes`; null when there is no room for them.
    [[nodiscard]] lease take(std::size_t bytes)
    {
        std::size_t before = this->taken->load();
        do {
            const std::size_t free = this->max_bytes - std::min(before, this->max_bytes);
            if (bytes > free / this->part) {
                return nullptr;
            }
        } while (!this->taken->compare_exchange_weak(before, before + bytes));
        const auto release = [counter = this->taken, bytes](const void*) { *counter -= bytes; };
        return lease(this->taken.get(), release);
    }

private:
    std::size_t max_bytes;
    std::size_t part;
    std::shared_ptr<std::atomic<std::size_t>> taken;
};

} // namespace redwingwheel::kernel
