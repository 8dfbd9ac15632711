#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/replication_types.h"

/// How processes find each other, without a list of who there is.
namespace redwingwheel::messages {

/// A process as it introduces itself.
struct peer_info {
    /// IP:port for calls; empty for a process that takes none.
    std::string address;
    std::string data_centre;
    /// Holds a data folder and wants a seat in the group.
    bool replica = false;
    replication::replica_id identity;
    bool has_state = false;
    /// Started as part of a new deployment, with an empty data folder.
    bool founding = false;

    MSGPACK_DEFINE(address, data_centre, replica, identity, has_state, founding)
};

struct hello {
    peer_info self;
    /// Addresses of replicas that the sender knows.
    std::vector<std::string> replicas;

    MSGPACK_DEFINE(self, replicas)
};

struct hello_answer {
    peer_info self;
    std::vector<std::string> replicas;
    /// Address of the leader that the sender knows of; may be empty.
    std::string leader;
    std::uint64_t term = 0;

    MSGPACK_DEFINE(self, replicas, leader, term)
};

/// Asks an empty replica to found the group.
struct form_group {
    std::vector<replication::member> members;

    MSGPACK_DEFINE(members)
};

} // namespace redwingwheel::messages
