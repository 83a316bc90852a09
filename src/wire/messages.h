/// @file
/// All messages of users, workers and the cloud. Includes the headers by concern.
#pragma once
#include "wire/cloud_messages.h"
#include "wire/job_messages.h"
#include "wire/worker_messages.h"
