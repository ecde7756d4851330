#pragma once
#include "consensus/failure_margin.hpp"
#include "consensus/membership_monitor.hpp"
