/// All of the package at once; include the header that you use instead.
#pragma once
#include "configuration/compiled_configuration.hpp"
#include "configuration/config_change.hpp"
#include "configuration/config_item.hpp"
#include "configuration/former_keys.hpp"
#include "configuration/json.hpp"
#include "configuration/merge.hpp"
#include "configuration/rendering.hpp"
