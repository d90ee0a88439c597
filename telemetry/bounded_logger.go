package telemetry

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines is the maximum number of lines that wait until a slow reader of the log has
// read the earlier ones. Further lines are dropped.
const maxQueuedLines = 2048

// boundedWriter writes lines in the background and drops new ones if the reader of the log
// is too slow, so that no request waits for its log line.
type boundedWriter struct {
	lines chan []byte
	// dropped is the number of lines that were dropped since the last write.
	dropped atomic.Int64
	// flush passes a channel from Sync to run. run closes the passed channel when it has
	// written all queued lines.
	flush chan chan struct{}
}

// NewBoundedLogger returns the logger of a daemon that must not block on its log, with the
// level info. Lines are written to out as JSON. If lines had to be dropped, a line with the
// message "log lines dropped" reports how many; it has neither a time nor the fields "daemon"
// and "id". daemon is the kind of the daemon.
func NewBoundedLogger(out io.Writer, daemon, id string) *zap.Logger {
	b := &boundedWriter{lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
	go b.run(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = func(at time.Time, encoder zapcore.PrimitiveArrayEncoder) {
		encoder.AppendString(at.UTC().Format(time.RFC3339Nano))
	}
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), b, zap.InfoLevel)
	return zap.New(core).With(zap.String("daemon", daemon), zap.String("id", id))
}

// Write implements zapcore.WriteSyncer.
func (b *boundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It waits until the queued lines are written. If the
// write in progress takes longer than one second, it returns without waiting further.
func (b *boundedWriter) Sync() error {
	done := make(chan struct{})
	select {
	case b.flush <- done:
		<-done
	case <-time.After(time.Second):
	}
	return nil
}

// run writes the queued lines to out. It never ends.
func (b *boundedWriter) run(out io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.write(out, line)
		case done := <-b.flush:
			for len(b.lines) > 0 {
				b.write(out, <-b.lines)
			}
			close(done)
		}
	}
}

// write writes the line in one call together with queued lines, which it takes from the
// queue until there are maxWriteBytes or more. A report of dropped lines comes first.
func (b *boundedWriter) write(out io.Writer, line []byte) {
	if dropped := b.dropped.Swap(0); dropped > 0 {
		line = append([]byte(`{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatInt(dropped, 10)+"}\n"), line...)
	}
	const maxWriteBytes = 32 << 10
	for len(b.lines) > 0 && len(line) < maxWriteBytes {
		line = append(line, <-b.lines...)
	}
	_, _ = out.Write(line)
}

// Cause returns the log field "cause" with the message of an error, without the stack trace
// that zap.Error would add. If err is nil, there is no field.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}
