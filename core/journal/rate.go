package journal

// SetWriteRate changes the limit of creates per second, for example when the number of daemons changes. Zero means no
// limit.
func (w *Writer) SetWriteRate(perSecond float64) { w.bucket.rate = perSecond }

// AppendedBytes returns the total size of all appended entries, in bytes.
func (w *Writer) AppendedBytes() int64 { return w.appendedBytes }
