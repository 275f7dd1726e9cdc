# Usage: gnuplot docs/measurements/exceptions.gnuplot
# Draws docs/measurements/exceptions.svg from exceptions.txt beside it.
set terminal svg size 720,480 font "sans,12"
set output "docs/measurements/exceptions.svg"
data = "docs/measurements/exceptions.txt"
set logscale x
set xtics (0.02, 0.03, 0.05, 0.07, 0.1, 0.2, 0.3, 0.5)
set xlabel "load bound epsilon"
set ylabel "exceptions of new flows (%); busiest target above mean (%)"
set y2label "control traffic of a VM (B/s)"
set ytics nomirror
set y2tics
set yrange [0:]
set y2range [0:]
set grid
set key top right
plot data using 1:2 with linespoints title "exceptions (%)", \
     data using 1:(($4 - 1) * 100) with linespoints \
         title "busiest target above mean (%)", \
     data using 1:3 axes x1y2 with linespoints title "control traffic (B/s)"
