/// @file
/// Includes the headers of all messages exchanged with users, workers and the cloud.
#pragma once
#include "wire/cloud_messages.h"
#include "wire/job_messages.h"
#include "wire/worker_messages.h"
