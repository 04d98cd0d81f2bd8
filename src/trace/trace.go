package trace

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/moorspool/moorspool/src/option"
)

// Header is the W3C trace context header.
const Header = "traceparent"

// Tracer creates spans; it is safe for concurrent use.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns the tracer of a process; spans are written to the file in the settings, if any.
func New(node string, settings option.Trace) (*Tracer, error) {
	if settings.File == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(node)}, nil
	}
	file, err := os.OpenFile(settings.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "opening the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Wrap(err, "creating the trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.Share))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", node))),
	)
	return &Tracer{tracer: provider.Tracer("moorspool"), provider: provider, file: file}, nil
}

// Close writes the buffered spans and closes the file.
func (t *Tracer) Close(ctx context.Context) {
	if t.provider == nil {
		return
	}
	_ = t.provider.Shutdown(ctx)
	_ = t.file.Close()
}

// Span is one hop of a request.
type Span struct {
	span oteltrace.Span
	ctx  context.Context
}

// Extract returns a context with the trace context of a traceparent header, "" for none.
func Extract(ctx context.Context, header string) context.Context {
	if header == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{Header: header})
}

// Start starts a span; model and host may be "".
func (t *Tracer) Start(ctx context.Context, name, request, model, host string) Span {
	ctx, span := t.tracer.Start(ctx, name)
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("moorspool.request", request),
			attribute.String("moorspool.model", model),
			attribute.String("moorspool.host", host),
		)
	}
	return Span{span: span, ctx: ctx}
}

// Context returns the context for child spans.
func (s Span) Context() context.Context { return s.ctx }

// Traceparent returns the header for the next hop, "" if there is no trace.
func (s Span) Traceparent() string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(s.ctx, carrier)
	return carrier[Header]
}

// End ends the span; err may be nil.
func (s Span) End(err error) {
	if err != nil {
		s.span.RecordError(err)
	}
	s.span.End()
}
