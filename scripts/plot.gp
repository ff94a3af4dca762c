# Plots the results of an experiment: bars of the fairness gap and the
# utilisation per run, and the utilisation and the number of queued requests of
# each run over time. Reads folder/name.csv and folder/name-timeline.csv, writes
# folder/name.svg; the caller sets both variables.
set terminal svg size 1000,720 font "sans,11"
set output folder."/".name.".svg"
set datafile separator ","
set style fill solid 0.7 border
set xtics noenhanced
set key noenhanced
set multiplot layout 2,2
set style data histogram
set boxwidth 0.8
set xtics rotate by -30
set grid ytics
set logscale y
set yrange [0.1:1000]
set title name.": fairness gap, % of mean service (log scale)" noenhanced
# Column 14 is gap_percent; values below 0.1 are drawn as 0.1 for the log scale.
plot folder."/".name.".csv" skip 1 using (column(14) > 0.1 ? column(14) : 0.1):xtic(1) notitle linecolor rgb "#7a5ea8"
unset logscale y
set yrange [0:100]
set title name.": utilisation while work waits, %" noenhanced
# Column 18 is utilisation_percent.
plot folder."/".name.".csv" skip 1 using 18:xtic(1) notitle linecolor rgb "#4f8a5b"
set xtics norotate autofreq
set style data lines
set xlabel "second"
set title "busy slots, %" noenhanced
names = system("cut -d, -f1 ".folder."/".name.".csv | tail -n +2")
plot for [i=0:words(names)-1] folder."/".name."-timeline.csv" index i using 2:3 title word(names, i+1)
set yrange [0:*]
set title "requests that wait" noenhanced
plot for [i=0:words(names)-1] folder."/".name."-timeline.csv" index i using 2:4 title word(names, i+1)
unset multiplot
