/// All of the package at once, for users that don't include what they use yet.
#pragma once
#include "transport/connection.hpp"
#include "transport/counters.hpp"
#include "transport/dial_strategy.hpp"
#include "transport/listener.hpp"
#include "transport/message.hpp"
#include "transport/peer_link.hpp"
#include "transport/periodic_timer.hpp"
#include "transport/relay.hpp"
#include "transport/socket_options.hpp"
