package telemetry

import "go.uber.org/zap/zapcore"

// arrayEncoder is what a time encoder of zap appends the formatted time to.
type arrayEncoder = zapcore.PrimitiveArrayEncoder
