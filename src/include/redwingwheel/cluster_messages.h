#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/replication_types.h"

/// Messages with which processes discover each other and form the replication group.
namespace redwingwheel::messages {

/// What a process tells others about itself.
struct peer_info {
    /// IP:port at which the process accepts calls; empty when it accepts none.
    std::string address;
    std::string data_centre;
    /// True when the process has a data folder and can be a member of the replication group.
    bool replica = false;
    replication::replica_id identity;
    /// True when the replica's log storage already holds state.
    bool has_state = false;
    /// True when the process is configured as part of a new deployment, which forms the group.
    bool founding = false;

    MSGPACK_DEFINE(address, data_centre, replica, identity, has_state, founding)
};

/// Sent periodically to all known addresses.
struct hello {
    peer_info self;
    /// Addresses (IP:port) of the replicas that the sender knows.
    std::vector<std::string> replicas;

    MSGPACK_DEFINE(self, replicas)
};

struct hello_answer {
    peer_info self;
    /// Addresses (IP:port) of the replicas that the answering process knows.
    std::vector<std::string> replicas;
    /// Address of the leader that the answering process knows; empty when it knows none.
    std::string leader;
    /// Latest leader term that the answering process knows.
    std::uint64_t term = 0;

    MSGPACK_DEFINE(self, replicas, leader, term)
};

/// Orders an empty replica to form the group with `members` as its first member list.
struct form_group {
    std::vector<replication::member> members;

    MSGPACK_DEFINE(members)
};

} // namespace redwingwheel::messages
